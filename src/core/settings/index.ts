/** Reads and validates the settings file of a VM. Each problem is reported with the file, the key, the value found and the values allowed. */
import { readFileSync } from 'node:fs'
import { parse } from 'smol-toml'
import type { z } from 'zod'
import { errorMessage, SettingsError } from '../errors/index.ts'
import { settingsSchema, type Settings } from './types.ts'

export type { Settings, VmIdentity } from './types.ts'

/** Reads a settings file. Throws SettingsError `settings_invalid`, whose message lists all problems, one per line. */
export function readSettings (file: string): Settings {
  return parseSettings(readFile(file), file)
}

/** Parses and validates settings text; `file` is used only in error messages. */
export function parseSettings (text: string, file: string): Settings {
  const parsed = parseToml(text, file)
  const result = settingsSchema.safeParse(parsed)
  if (result.success) return result.data
  const problems = result.error.issues.flatMap(issue => describeIssue(issue, parsed, file))
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

function describeIssue (issue: z.core.$ZodIssue, parsed: unknown, file: string): string[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => `${file}: ${[...issue.path, key].join('.')}: unknown key; remove it or correct its spelling`)
  }
  const value = valueAt(parsed, issue.path)
  const displayedValue = value === undefined ? 'nothing' : JSON.stringify(value)
  return [`${file}: ${issue.path.join('.')}: found ${displayedValue}; allowed: ${issue.message}`]
}

function valueAt (root: unknown, path: readonly PropertyKey[]): unknown {
  let value = root
  for (const key of path) {
    if (typeof value !== 'object' || value === null) return undefined
    value = (value as Record<PropertyKey, unknown>)[key]
  }
  return value
}
