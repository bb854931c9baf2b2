/** Rendezvous hashing: all VMs that know the same candidates order them alike for one key, without any exchange. */

/** 32-bit FNV-1a hash, finished with the mixer of MurmurHash3. */
export function hashText (text: string): number {
  let hash = 0x811c9dc5
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

/** A number from 0 to 1 that depends on the text alone. */
export function hashPoint (text: string): number {
  return hashText(text) / 2 ** 32
}

export function rendezvousOrder<Name extends string> (key: string, names: readonly Name[]): Name[] {
  const weighted = names.map(name => ({ name, weight: hashText(`${key}/${name}`) }))
  return weighted.sort((a, b) => b.weight - a.weight).map(({ name }) => name)
}
