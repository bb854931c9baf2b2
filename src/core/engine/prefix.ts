/**
 * Hashes of a prompt's leading blocks. Engines publish the content of their prefix cache as the same hashes, so that
 * the leader can prefer a backend server that has a long prefix of the prompt cached.
 */
import { createHash } from 'node:crypto'
import type { ChatMessage } from './types.ts'

const BLOCK_CHARACTERS = 256
/** Limits the size of a permit request; longer prompts are compared by their first 4,096 characters. */
const MAX_BLOCKS = 16

/** Returns a hash of each message but the last, which belongs to the request itself; other requests may have the others, too. */
export function sharedMessageHashes (messages: readonly ChatMessage[]): string[] {
  return messages.slice(0, -1).map(({ role, content }) => createHash('sha256').update(`${role}:${content}`).digest('hex').slice(0, 16))
}

/** Returns one hash for each prefix of whole blocks, the longest prefix first. */
export function prefixHashes (messages: readonly ChatMessage[]): string[] {
  const text = messages.map(message => `${message.role}:${message.content}`).join('\n')
  const blocks = Math.min(MAX_BLOCKS, Math.floor(text.length / BLOCK_CHARACTERS))
  const hash = createHash('sha256')
  const hashes: string[] = []
  for (let block = 0; block < blocks; block++) {
    hash.update(text.slice(block * BLOCK_CHARACTERS, (block + 1) * BLOCK_CHARACTERS))
    hashes.unshift(hash.copy().digest('hex').slice(0, 16))
  }
  return hashes
}
