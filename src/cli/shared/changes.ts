/** Applies configuration changes: prints the differences, stores the changes, and waits until they are in force. */
import { callOperatorApi, type OperatorConnection } from './operator-client.ts'
import { CommandError } from './command-error.ts'
import { EXIT_CODES, type ExitCode } from './exit-codes.ts'
import { connectionOf, type ChangeOptions } from './options.ts'
import { printResult } from './table.ts'

export interface RequestedChange {
  kind: string
  name: string
  /** Null deletes the object. */
  spec: object | null
  resourceVersion?: number
}

export interface AcceptedObject { kind: string, name: string, resourceVersion: number }

interface FieldDifference { path: string, before?: unknown, after?: unknown }

export interface CheckResult {
  valid: boolean
  problems: { kind: string, name: string, path: string, message: string }[]
  differences: { kind: string, name: string, operation: string, fields: FieldDifference[] }[]
}

interface InForceResult { revision: number, in_force: string[], missing: string[] }

const POLL_MS = 1000

/** Checks the changes and returns the result with their differences. Throws CommandError with all problems if a change is invalid. */
export async function checkChanges (connection: OperatorConnection, changes: RequestedChange[]): Promise<CheckResult> {
  const result = await callOperatorApi<CheckResult>(connection, { method: 'POST', path: '/check', body: { changes } })
  if (result.valid) return result
  const lines = result.problems.map(({ kind, name, path, message }) => `${kind}/${name}: ${path === '' ? '' : `${path}: `}${message}`)
  throw new CommandError(lines.join('\n'), EXIT_CODES.failed)
}

export async function applyChanges (options: ChangeOptions, changes: RequestedChange[]): Promise<ExitCode> {
  const connection = connectionOf(options)
  const { differences } = await checkChanges(connection, changes)
  if (!options.json) process.stdout.write(formatDifferences(differences) + '\n')
  const { accepted } = await callOperatorApi<{ accepted: AcceptedObject[] }>(connection, { method: 'POST', path: '/changes', body: { changes } })
  return await reportAccepted(options, accepted)
}

/** Prints the accepted revisions and, with `--wait`, waits until they are in force on all VMs. */
export async function reportAccepted (options: ChangeOptions, accepted: AcceptedObject[]): Promise<ExitCode> {
  const lines = accepted.map(({ kind, name, resourceVersion }) => `${kind}/${name} is at revision ${resourceVersion}`)
  const revision = Math.max(0, ...accepted.map(({ resourceVersion }) => resourceVersion))
  if (!options.wait) {
    printResult(options.json, { accepted }, lines.join('\n'))
    return EXIT_CODES.ok
  }
  if (!options.json) process.stdout.write(lines.join('\n') + '\n')
  return await waitUntilInForce(options, accepted, revision)
}

async function waitUntilInForce (options: ChangeOptions, accepted: AcceptedObject[], revision: number): Promise<ExitCode> {
  const deadlineMs = Date.now() + options['wait-timeout-ms']
  for (;;) {
    const remainingMs = Math.max(0, deadlineMs - Date.now())
    const path = `/in-force?revision=${revision}&timeout_ms=${Math.min(POLL_MS, remainingMs)}`
    const result = await callOperatorApi<InForceResult>(connectionOf(options), { method: 'GET', path })
    const total = result.in_force.length + result.missing.length
    if (!options.json) process.stdout.write(`in force on ${result.in_force.length} of ${total} VMs\n`)
    const isDone = result.missing.length === 0
    if (!isDone && Date.now() < deadlineMs) continue
    if (options.json) printResult(true, { accepted, ...result }, '')
    if (isDone) return EXIT_CODES.ok
    process.stderr.write(`not confirmed by: ${result.missing.join(', ')}\n`)
    return EXIT_CODES.notInForce
  }
}

export function formatDifferences (differences: CheckResult['differences']): string {
  return differences.flatMap(({ kind, name, operation, fields }) => [
    `${operation === 'none' ? 'unchanged' : operation} ${kind}/${name}`,
    ...fields.map(({ path, before, after }) => `  ${path}: ${formatValue(before)} -> ${formatValue(after)}`)
  ]).join('\n')
}

function formatValue (value: unknown): string {
  return value === undefined || value === null ? '(nothing)' : JSON.stringify(value)
}
