/**
 * Reads files of configuration objects. A file is TOML with a table per kind and name, for example
 * `[Contract.head-teachers]`.
 */
import { readFileSync } from 'node:fs'
import { parse } from 'smol-toml'
import { errorMessage } from '../../core/errors/index.ts'
import { CONFIG_KINDS } from '../../core/object-api/types.ts'
import { CommandError } from './command-error.ts'
import { EXIT_CODES } from './exit-codes.ts'
import type { RequestedChange } from './changes.ts'

export function readChangeFile (file: string): RequestedChange[] {
  const kinds = Object.entries(parseFile(file))
  return kinds.flatMap(([kind, objects]) => {
    if (!CONFIG_KINDS.some(configKind => configKind === kind)) {
      throw new CommandError(`${file}: found table ${kind}; allowed: ${CONFIG_KINDS.join(', ')}`, EXIT_CODES.usage)
    }
    return Object.entries(asTable(objects, `${file}: ${kind}`)).map(([name, spec]) => ({
      kind, name, spec: asTable(spec, `${file}: ${kind}.${name}`)
    }))
  })
}

function parseFile (file: string): Record<string, unknown> {
  try {
    return parse(readFileSync(file, 'utf8'))
  } catch (error) {
    throw new CommandError(`${file}: ${errorMessage(error)}`, EXIT_CODES.usage)
  }
}

function asTable (value: unknown, location: string): Record<string, unknown> {
  if (typeof value === 'object' && value !== null && !Array.isArray(value)) return value as Record<string, unknown>
  throw new CommandError(`${location}: found ${JSON.stringify(value)}; allowed: a table`, EXIT_CODES.usage)
}
