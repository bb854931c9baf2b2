/**
 * Validates changes before they are stored: first the schema of each object, then the constraints across objects.
 * Violations that already exist in the configuration do not block unrelated changes.
 */
import { CONFIG_KINDS, type ConfigKind } from '../object-api/types.ts'
import { findConstraintViolations, type ConfigReader } from './constraints.ts'
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
  /** The changes with parsed specs and defaults filled in, ordered so that all references resolve after each write. */
  changes: ConfigChange[]
}

const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/

export function validateChanges (view: ConfigView, changes: readonly ConfigChange[]): Validation {
  const problems: ConfigProblem[] = [...findDuplicateChanges(changes)]
  const parsed: ConfigChange[] = []
  for (const change of changes) {
    const result = parseChange(change)
    problems.push(...result.problems)
    if (result.change) parsed.push(result.change)
  }
  const differences = parsed.map(change => diffChange(view, change))
  if (problems.length === 0) problems.push(...findNewViolations(view, parsed))
  return { problems, differences, changes: sortForWriting(parsed) }
}

function findDuplicateChanges (changes: readonly ConfigChange[]): ConfigProblem[] {
  const seen = new Set<string>()
  return changes.flatMap(({ kind, name }) => {
    if (seen.has(`${kind}/${name}`)) return [{ kind, name, path: '', message: 'is changed more than once in one call' }]
    seen.add(`${kind}/${name}`)
    return []
  })
}

function parseChange (change: ConfigChange): { problems: ConfigProblem[], change?: ConfigChange } {
  const { kind, name } = change
  const problem = (path: string, message: string): ConfigProblem => ({ kind, name, path, message })
  if (!CONFIG_KINDS.includes(kind)) return { problems: [problem('', `unknown kind; expected one of ${CONFIG_KINDS.join(', ')}`)] }
  if (!NAME_PATTERN.test(name)) return { problems: [problem('', 'a name has at most 63 lower-case letters, digits, dots, underscores and hyphens, and starts with a letter or digit')] }
  if (change.spec === null) return { problems: [], change }
  const result = CONFIG_SCHEMAS[kind].safeParse(change.spec)
  if (result.success) return { problems: [], change: { ...change, spec: result.data } }
  return { problems: result.error.issues.map(issue => problem(issue.path.join('.'), issue.message)) }
}

function findNewViolations (view: ConfigView, changes: readonly ConfigChange[]): ConfigProblem[] {
  const existing = new Set(findConstraintViolations(view).map(problemKey))
  const changed = new Set(changes.map(keyOf))
  const deleted = new Set(changes.filter(change => change.spec === null).map(keyOf))
  return findConstraintViolations(applyToView(view, changes))
    .filter(problem => !existing.has(problemKey(problem)))
    .filter(problem => !problem.ownChangeOnly || changed.has(keyOf(problem)))
    .map(problem => problem.missing && deleted.has(keyOf(problem.missing)) ? attributeToDeletion(problem, problem.missing) : problem)
}

function keyOf ({ kind, name }: { kind: ConfigKind, name: string }): string {
  return `${kind}/${name}`
}

function problemKey ({ kind, name, path, message }: ConfigProblem): string {
  return JSON.stringify([kind, name, path, message])
}

/** Attributes a reference that a deletion would break to the deleted object, because that is the object being changed. */
function attributeToDeletion ({ kind, name, path }: ConfigProblem, deleted: { kind: ConfigKind, name: string }): ConfigProblem {
  return { ...deleted, path: '', message: `cannot be deleted while ${kind}/${name} names it in ${path}` }
}

/** Returns the configuration as it would be after the changes. */
function applyToView (view: ConfigView, changes: readonly ConfigChange[]): ConfigReader {
  const changed = new Map(changes.map(change => [`${change.kind}/${change.name}`, change]))
  function get<Kind extends ConfigKind> (kind: Kind, name: string): ConfigSpecs[Kind] | undefined {
    const change = changed.get(`${kind}/${name}`)
    return change ? (change.spec ?? undefined) as ConfigSpecs[Kind] | undefined : view.get(kind, name)
  }
  function list<Kind extends ConfigKind> (kind: Kind): ConfigEntry<Kind>[] {
    const unchanged = view.list(kind).filter(entry => !changed.has(`${kind}/${entry.name}`))
    const written = changes.filter(change => change.kind === kind && change.spec !== null)
    return [...unchanged, ...written.map(({ name, spec }) => ({ name, resourceVersion: 0, spec: spec as ConfigSpecs[Kind] }))]
  }
  return { get, list }
}

/** Referenced kinds are written before the kinds that reference them; deletions come last, in reverse order. */
const WRITE_ORDER: readonly ConfigKind[] = [
  'Operator', 'DataCentre', 'Model', 'Version', 'Service', 'VirtualMachine', 'BackendServer', 'Contract', 'Rollout'
]

function sortForWriting (changes: readonly ConfigChange[]): ConfigChange[] {
  const writeRank = ({ kind, spec }: ConfigChange) => {
    const index = WRITE_ORDER.indexOf(kind)
    return spec === null ? 2 * WRITE_ORDER.length - index : index
  }
  return [...changes].sort((left, right) => writeRank(left) - writeRank(right))
}

function diffChange (view: ConfigView, { kind, name, spec }: ConfigChange): ConfigDifference {
  const before = view.get(kind, name)
  const fields = diffFields('', before, spec ?? undefined)
  const operation = spec === null ? 'delete' : before === undefined ? 'create' : fields.length === 0 ? 'none' : 'update'
  return { kind, name, operation, fields }
}

function diffFields (path: string, before: unknown, after: unknown): FieldDifference[] {
  if (isRecord(before) && isRecord(after)) {
    const keys = new Set([...Object.keys(before), ...Object.keys(after)])
    return [...keys].flatMap(key => diffFields(path ? `${path}.${key}` : key, before[key], after[key]))
  }
  return JSON.stringify(before) === JSON.stringify(after) ? [] : [{ path, before, after }]
}

function isRecord (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
