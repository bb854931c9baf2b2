/**
 * Validates changes before they are stored: the schema of each object, then contradictions that the changes would
 * bring into the whole configuration. Contradictions that exist already do not block unrelated changes.
 */
import { CONFIG_KINDS, type ConfigKind } from '../object-api/types.ts'
import { findContradictions, type ConfigContent } from './contradictions.ts'
import type { ConfigProblem } from './errors.ts'
import { CONFIG_SCHEMAS, type ConfigChange, type ConfigEntry, type ConfigSpecs, type ConfigView } from './types.ts'

export interface FieldDifference {
  path: string
  before: unknown
  after: unknown
}

export interface ConfigDifference {
  kind: ConfigKind
  name: string
  operation: 'create' | 'update' | 'delete' | 'none'
  fields: FieldDifference[]
}

export interface Validation {
  problems: ConfigProblem[]
  differences: ConfigDifference[]
  /** The changes with parsed specs and filled-in defaults, in an order in which references always resolve. */
  changes: ConfigChange[]
}

const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/

export function validateChanges (view: ConfigView, changes: readonly ConfigChange[]): Validation {
  const problems: ConfigProblem[] = [...findRepeated(changes)]
  const parsed: ConfigChange[] = []
  for (const change of changes) {
    const result = parseChange(change)
    problems.push(...result.problems)
    if (result.change) parsed.push(result.change)
  }
  const differences = parsed.map(change => differenceOf(view, change))
  if (problems.length === 0) problems.push(...newContradictions(view, parsed))
  return { problems, differences, changes: sortForWriting(parsed) }
}

function findRepeated (changes: readonly ConfigChange[]): ConfigProblem[] {
  const seen = new Set<string>()
  return changes.flatMap(({ kind, name }) => {
    if (seen.has(`${kind}/${name}`)) return [{ kind, name, path: '', message: 'is changed twice in one call' }]
    seen.add(`${kind}/${name}`)
    return []
  })
}

function parseChange (change: ConfigChange): { problems: ConfigProblem[], change?: ConfigChange } {
  const { kind, name } = change
  const problem = (path: string, message: string): ConfigProblem => ({ kind, name, path, message })
  if (!CONFIG_KINDS.includes(kind)) return { problems: [problem('', `unknown kind; kinds are ${CONFIG_KINDS.join(', ')}`)] }
  if (!NAME_PATTERN.test(name)) return { problems: [problem('', 'names have lower-case letters, digits, dots, underscores and hyphens, at most 63')] }
  if (change.spec === null) return { problems: [], change }
  const result = CONFIG_SCHEMAS[kind].safeParse(change.spec)
  if (result.success) return { problems: [], change: { ...change, spec: result.data } }
  return { problems: result.error.issues.map(issue => problem(issue.path.join('.'), issue.message)) }
}

function newContradictions (view: ConfigView, changes: readonly ConfigChange[]): ConfigProblem[] {
  const known = new Set(findContradictions(view).map(identify))
  const changed = new Set(changes.map(keyOf))
  const deleted = new Set(changes.filter(change => change.spec === null).map(keyOf))
  return findContradictions(overlay(view, changes))
    .filter(problem => !known.has(identify(problem)))
    .filter(problem => !problem.ownChangeOnly || changed.has(keyOf(problem)))
    .map(problem => problem.missing && deleted.has(keyOf(problem.missing)) ? blameDeletion(problem, problem.missing) : problem)
}

function keyOf ({ kind, name }: { kind: ConfigKind, name: string }): string {
  return `${kind}/${name}`
}

function identify ({ kind, name, path, message }: ConfigProblem): string {
  return JSON.stringify([kind, name, path, message])
}

/** A reference that a deletion would break is reported at the deleted object, which is what the operator changes. */
function blameDeletion ({ kind, name, path }: ConfigProblem, deleted: { kind: ConfigKind, name: string }): ConfigProblem {
  return { ...deleted, path: '', message: `cannot be deleted while ${kind}/${name} names it in ${path}` }
}

/** The configuration as it would be after the changes. */
function overlay (view: ConfigView, changes: readonly ConfigChange[]): ConfigContent {
  const changed = new Map(changes.map(change => [`${change.kind}/${change.name}`, change]))
  function get<Kind extends ConfigKind> (kind: Kind, name: string): ConfigSpecs[Kind] | undefined {
    const change = changed.get(`${kind}/${name}`)
    return change ? (change.spec ?? undefined) as ConfigSpecs[Kind] | undefined : view.get(kind, name)
  }
  function list<Kind extends ConfigKind> (kind: Kind): ConfigEntry<Kind>[] {
    const kept = view.list(kind).filter(entry => !changed.has(`${kind}/${entry.name}`))
    const put = changes.filter(change => change.kind === kind && change.spec !== null)
    return [...kept, ...put.map(({ name, spec }) => ({ name, resourceVersion: 0, spec: spec as ConfigSpecs[Kind] }))]
  }
  return { get, list }
}

/** Referenced kinds come before those that reference them; deletions come last, in reverse. */
const WRITE_ORDER: readonly ConfigKind[] = [
  'Operator', 'DataCentre', 'Model', 'Version', 'Service', 'VirtualMachine', 'BackendServer', 'Contract', 'Rollout'
]

function sortForWriting (changes: readonly ConfigChange[]): ConfigChange[] {
  const rank = ({ kind, spec }: ConfigChange) => {
    const index = WRITE_ORDER.indexOf(kind)
    return spec === null ? 2 * WRITE_ORDER.length - index : index
  }
  return [...changes].sort((left, right) => rank(left) - rank(right))
}

function differenceOf (view: ConfigView, { kind, name, spec }: ConfigChange): ConfigDifference {
  const before = view.get(kind, name)
  const fields = compare('', before, spec ?? undefined)
  const operation = spec === null ? 'delete' : before === undefined ? 'create' : fields.length === 0 ? 'none' : 'update'
  return { kind, name, operation, fields }
}

function compare (path: string, before: unknown, after: unknown): FieldDifference[] {
  if (isRecord(before) && isRecord(after)) {
    const keys = new Set([...Object.keys(before), ...Object.keys(after)])
    return [...keys].flatMap(key => compare(path ? `${path}.${key}` : key, before[key], after[key]))
  }
  return JSON.stringify(before) === JSON.stringify(after) ? [] : [{ path, before, after }]
}

function isRecord (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
