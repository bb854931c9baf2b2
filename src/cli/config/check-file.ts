/**
 * `lacewingstage config check FILE` without a fleet. A file is TOML with the product's own objects, or JSON with a traffic
 * configuration in the form of the users' platform, which an adapter decodes.
 */
import { extname } from 'node:path'
import type { ConfigChange } from '../../core/config/types.ts'
import { checkObjects } from '../../core/config-check/objects.ts'
import { checkTrafficConfig } from '../../core/config-check/traffic.ts'
import { compareTrafficConfigs } from '../../core/config-check/traffic-differences.ts'
import type { DeploymentLimits, Difference, Finding } from '../../core/config-check/types.ts'
import { errorMessage } from '../../core/errors/index.ts'
import type { TrafficConfig } from '../../core/forwarding/types.ts'
import { CommandError } from '../shared/command-error.ts'
import { formatDifferences } from '../shared/changes.ts'
import { parseChanges } from '../shared/change-file.ts'
import { EXIT_CODES, type ExitCode } from '../shared/exit-codes.ts'
import { readText } from '../shared/read-text.ts'
import { printResult } from '../shared/table.ts'

/** Decodes a traffic configuration, or returns all of its invalid fields. */
export type TrafficConfigParser = (spec: unknown) => { config: TrafficConfig } | { invalid: { path: string, message: string }[] }

export interface FileCheckOptions {
  against?: string
  json: boolean
  limits: DeploymentLimits
  parseTrafficConfig: TrafficConfigParser
}

interface FileCheck { findings: Finding[], differences: unknown[], differencesText: string }

/** Deepest nesting that is read; a configuration has about ten levels. */
const MAX_NESTING = 100
/** Longest text of a value in a finding. */
const MAX_VALUE_CHARACTERS = 300
const TRAFFIC_CONFIG_EXTENSION = '.json'

export const isTrafficConfigFile = (file: string) => extname(file) === TRAFFIC_CONFIG_EXTENSION

/** Prints the findings and differences; returns the exit code. Throws CommandError if a file cannot be read or parsed. */
export function checkFile (file: string, { against, json, limits, parseTrafficConfig }: FileCheckOptions): ExitCode {
  const { findings, differences, differencesText } = isTrafficConfigFile(file)
    ? checkTrafficFile(file, { against, limits, parseTrafficConfig })
    : checkObjectsFile(file, against)
  const isValid = !findings.some(({ severity }) => severity === 'error')
  const summary = `${file}: ${isValid ? 'valid' : 'invalid'}, ${findings.length} findings`
  printResult(json, { valid: isValid, findings, differences }, [...findings.map(formatFinding), differencesText, summary].filter(Boolean).join('\n'))
  return isValid ? EXIT_CODES.ok : EXIT_CODES.failed
}

function checkTrafficFile (file: string, { against, limits, parseTrafficConfig }: Omit<FileCheckOptions, 'json'>): FileCheck {
  const spec = readTrafficSpec(file)
  const parsed = parseTrafficConfig(spec)
  if ('invalid' in parsed) {
    const findings = parsed.invalid.map(({ path, message }): Finding => ({ severity: 'error', path, value: valueAt(spec, path), message, hint: 'the configuration in force stays in force until this is corrected' }))
    return { findings, differences: [], differencesText: '' }
  }
  const differences = against === undefined ? [] : compareTrafficConfigs(readInForce(against, parseTrafficConfig), parsed.config)
  return { findings: checkTrafficConfig(parsed.config, limits), differences, differencesText: differences.map(formatDifference).join('\n') }
}

function readInForce (file: string, parseTrafficConfig: TrafficConfigParser): TrafficConfig {
  const parsed = parseTrafficConfig(readTrafficSpec(file))
  if ('config' in parsed) return parsed.config
  throw new CommandError(`${file}: ${parsed.invalid[0]!.path}: ${parsed.invalid[0]!.message}`, EXIT_CODES.usage)
}

function checkObjectsFile (file: string, against: string | undefined): FileCheck {
  const read = (name: string) => parseChanges(name, readText(name)) as ConfigChange[]
  const { findings, differences } = checkObjects(read(file), against === undefined ? [] : read(against))
  const shown = against === undefined ? [] : differences
  return { findings, differences: shown, differencesText: formatDifferences(shown) }
}

/** Reads a configuration, either by itself or as the object that the store holds. */
function readTrafficSpec (file: string): unknown {
  const value = parseJson(file)
  if (isNestedTooDeeply(value)) throw new CommandError(`${file}: is nested too deeply; allowed: up to ${MAX_NESTING} levels`, EXIT_CODES.usage)
  const isObject = typeof value === 'object' && value !== null && 'spec' in value
  return isObject ? value.spec : value
}

/** Without recursion, which would exceed the stack. */
function isNestedTooDeeply (value: unknown): boolean {
  let level = [value]
  for (let depth = 0; level.length > 0; depth++) {
    if (depth > MAX_NESTING) return true
    level = level.flatMap(item => typeof item === 'object' && item !== null ? Object.values(item) : [])
  }
  return false
}

function parseJson (file: string): unknown {
  try {
    return JSON.parse(readText(file))
  } catch (error) {
    if (error instanceof CommandError) throw error
    throw new CommandError(`${file}: cannot be read as JSON: ${errorMessage(error)}`, EXIT_CODES.usage)
  }
}

function valueAt (spec: unknown, path: string): unknown {
  return path === '' ? undefined : path.split('.').reduce<unknown>((value, field) => (value as Record<string, unknown> | null | undefined)?.[field], spec)
}

function formatFinding ({ severity, path, value, message, hint }: Finding): string {
  const found = value === undefined ? '' : ` (found ${JSON.stringify(value).slice(0, MAX_VALUE_CHARACTERS)})`
  return `${severity} ${path}: ${message}${found}\n  hint: ${hint}`
}

function formatDifference ({ subject, change, loss }: Difference): string {
  return `${subject}: ${change}${loss ? `\n  loss: ${loss}` : ''}`
}
