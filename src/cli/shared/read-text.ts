/** Reads a file that an operator names, within a size, and only if it is text. */
import { closeSync, fstatSync, openSync, readFileSync } from 'node:fs'
import { errorMessage } from '../../core/errors/index.ts'
import { CommandError } from './command-error.ts'
import { EXIT_CODES } from './exit-codes.ts'

/** Largest file that is read. The platform stores values of up to 1 MB; a larger file is another one. */
const MAX_FILE_BYTES = 8 * 1024 * 1024

/** Throws CommandError with the file's name and the problem. */
export function readText (file: string): string {
  const bytes = readBytes(file)
  try {
    return new TextDecoder('utf-8', { fatal: true }).decode(bytes)
  } catch {
    throw new CommandError(`${file}: is not encoded in UTF-8`, EXIT_CODES.usage)
  }
}

function readBytes (file: string): Buffer {
  let descriptor: number | undefined
  try {
    descriptor = openSync(file, 'r')
    const { size } = fstatSync(descriptor)
    if (size > MAX_FILE_BYTES) throw new CommandError(`${file}: has ${size} bytes; allowed: up to ${MAX_FILE_BYTES}`, EXIT_CODES.usage)
    return readFileSync(descriptor)
  } catch (error) {
    if (error instanceof CommandError) throw error
    throw new CommandError(`${file}: ${errorMessage(error)}`, EXIT_CODES.usage)
  } finally {
    if (descriptor !== undefined) closeSync(descriptor)
  }
}
