/** Rendezvous hashing: all VMs with the same candidates compute the same order for a key, without communication. */

/** 32-bit FNV-1a hash with the finalizer of MurmurHash3. */
export function hashText (text: string): number {
  let hash = 0x811c9dc5
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

/** Maps a text deterministically to a number of at least 0 and below 1. */
export function hashFraction (text: string): number {
  return hashText(text) / 2 ** 32
}

/** Names in descending order of their hash with the key. */
export function rendezvousOrder<Name extends string> (key: string, names: readonly Name[]): Name[] {
  const weighted = names.map(name => ({ name, weight: hashText(`${key}/${name}`) }))
  return weighted.sort((a, b) => b.weight - a.weight).map(({ name }) => name)
}
