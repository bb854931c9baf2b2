/**
 * Reads files of configuration objects. A file is TOML with a table per kind and name, for example
 * `[Contract.head-teachers]`.
 */
import { parse } from 'smol-toml'
import { errorMessage } from '../../core/errors/index.ts'
import { CONFIG_KINDS } from '../../core/object-api/types.ts'
import { CommandError } from './command-error.ts'
import { EXIT_CODES } from './exit-codes.ts'
import { readText } from './read-text.ts'
import type { RequestedChange } from './changes.ts'

const MAX_MESSAGE_CHARACTERS = 300

export function readChangeFile (file: string): RequestedChange[] {
  return parseChanges(file, readText(file))
}

/** Parses the text of a file. Throws CommandError with the file's name and the problem. */
export function parseChanges (file: string, text: string): RequestedChange[] {
  const kinds = Object.entries(parseText(file, text))
  return kinds.flatMap(([kind, objects]) => {
    if (!CONFIG_KINDS.some(configKind => configKind === kind)) {
      throw new CommandError(`${file}: found table ${kind}; allowed: ${CONFIG_KINDS.join(', ')}`, EXIT_CODES.usage)
    }
    return Object.entries(asTable(objects, `${file}: ${kind}`)).map(([name, spec]) => ({
      kind, name, spec: asTable(spec, `${file}: ${kind}.${name}`)
    }))
  })
}

function parseText (file: string, text: string): Record<string, unknown> {
  try {
    return parse(text)
  } catch (error) {
    // The parser quotes the line, which may be of any length.
    throw new CommandError(`${file}: ${errorMessage(error).slice(0, MAX_MESSAGE_CHARACTERS)}`, EXIT_CODES.usage)
  }
}

function asTable (value: unknown, location: string): Record<string, unknown> {
  if (typeof value === 'object' && value !== null && !Array.isArray(value)) return value as Record<string, unknown>
  throw new CommandError(`${location}: found ${JSON.stringify(value).slice(0, MAX_MESSAGE_CHARACTERS)}; allowed: a table`, EXIT_CODES.usage)
}
