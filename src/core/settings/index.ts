/** Reads and checks the settings file of a VM. Every problem is reported with file, key, what was found and what is allowed. */
import { readFileSync } from 'node:fs'
import { parse } from 'smol-toml'
import type { z } from 'zod'
import { errorMessage, SettingsError } from '../errors/index.ts'
import { settingsSchema, type Settings } from './types.ts'

export type { Settings, VmIdentity } from './types.ts'

/** Reads a settings file. Throws SettingsError `settings_invalid`, whose message lists all problems, one a line. */
export function readSettings (file: string): Settings {
  return parseSettings(readFile(file), file)
}

/** Parses settings text; `file` only appears in messages. */
export function parseSettings (text: string, file: string): Settings {
  const found = parseToml(text, file)
  const result = settingsSchema.safeParse(found)
  if (result.success) return result.data
  const problems = result.error.issues.flatMap(issue => describeIssue(issue, found, file))
  throw new SettingsError('settings_invalid', { detail: problems.join('\n') })
}

function readFile (file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (error) {
    throw new SettingsError('settings_invalid', { detail: `${file}: cannot be read: ${errorMessage(error)}`, cause: error })
  }
}

function parseToml (text: string, file: string): unknown {
  try {
    return parse(text)
  } catch (error) {
    throw new SettingsError('settings_invalid', { detail: `${file}: not valid TOML: ${errorMessage(error)}`, cause: error })
  }
}

function describeIssue (issue: z.core.$ZodIssue, found: unknown, file: string): string[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => `${file}: ${[...issue.path, key].join('.')}: unknown key; remove it or correct its spelling`)
  }
  const value = valueAt(found, issue.path)
  const shown = value === undefined ? 'nothing' : JSON.stringify(value)
  return [`${file}: ${issue.path.join('.')}: found ${shown}; allowed: ${issue.message}`]
}

function valueAt (root: unknown, path: readonly PropertyKey[]): unknown {
  let value = root
  for (const key of path) {
    if (typeof value !== 'object' || value === null) return undefined
    value = (value as Record<PropertyKey, unknown>)[key]
  }
  return value
}
