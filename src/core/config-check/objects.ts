/**
 * Checks a file of configuration objects without a fleet: the validation that the product itself runs, on an empty
 * configuration or on that of another file, and entries that can never match.
 */
import { validateChanges, type ConfigDifference } from '../config/validation.ts'
import type { ConfigChange, ConfigEntry, ConfigSpecs, ConfigView } from '../config/types.ts'
import type { ConfigKind } from '../object-api/types.ts'
import type { Finding } from './types.ts'

export interface ObjectsCheck { findings: Finding[], differences: ConfigDifference[] }

/** `inForce` are the objects of the version in force, if it is known; objects that the file leaves out are deleted. */
export function checkObjects (objects: readonly ConfigChange[], inForce: readonly ConfigChange[] = []): ObjectsCheck {
  const names = new Set(objects.map(({ kind, name }) => `${kind}/${name}`))
  const deletions = inForce.filter(({ kind, name }) => !names.has(`${kind}/${name}`)).map(change => ({ ...change, spec: null }))
  const { problems, differences, changes } = validateChanges(createView(validateChanges(createView([]), inForce).changes), [...objects, ...deletions])
  const errors = problems.map(({ kind, name, path, message }): Finding => ({
    severity: 'error', path: [kind, name, path].filter(Boolean).join('.'), value: valueAt(objects, kind, name, path), message, hint: 'see docs/operators/configuration.md'
  }))
  const warnings = errors.length > 0 ? [] : findUnused(createView(changes))
  return { findings: [...errors, ...warnings], differences: differences.filter(({ operation }) => operation !== 'none') }
}

function findUnused (view: ConfigView): Finding[] {
  const findings: Finding[] = []
  const report = (path: string, message: string, hint: string) => findings.push({ severity: 'warning', path, message, hint })
  const versions = view.list('Version')
  const contracts = view.list('Contract')
  const servers = view.list('BackendServer')
  for (const { name, spec } of view.list('Model')) {
    if (!versions.some(version => version.spec.model === name && version.spec.state === 'active' && version.spec.weight > 0)) report(`Model.${name}`, 'has no active version with a weight', 'raise the weight of a version')
    if (!contracts.some(contract => contract.spec.models.some(model => model === name || model === spec.alias))) report(`Model.${name}`, 'is allowed by no contract', 'add it to a contract, or remove it')
  }
  for (const { name, spec } of versions) {
    if (spec.state === 'active' && spec.weight === 0) report(`Version.${name}.weight`, 'is 0, so that no new session uses the version', 'raise the weight, or start a roll-out')
    if (spec.state === 'active' && !servers.some(server => server.spec.versions.includes(name as never))) report(`Version.${name}`, 'is loaded on no backend server', 'add it to a backend server')
  }
  for (const { name } of view.list('Service')) {
    if (!contracts.some(contract => contract.spec.services.includes(name as never))) report(`Service.${name}`, 'is allowed by no contract', 'add it to a contract, or remove it')
    if (!servers.some(server => server.spec.service === name)) report(`Service.${name}`, 'has no backend server', 'add one, or remove the service')
  }
  for (const { name, spec } of servers) {
    if (spec.versions.length === 0 && !spec.service) report(`BackendServer.${name}`, 'serves neither a version nor a service', 'name what it serves')
  }
  for (const { name, spec } of contracts) {
    if (spec.firstTokenTargetMs > spec.deadlineMs) report(`Contract.${name}.firstTokenTargetMs`, `lies above the deadline of ${spec.deadlineMs} ms`, 'lower the target or raise the deadline')
    if (spec.spendLimitMicros === 0) report(`Contract.${name}.spendLimitMicros`, 'is 0, so that every request is refused', 'raise the limit')
  }
  return findings
}

function valueAt (objects: readonly ConfigChange[], kind: string, name: string, path: string): unknown {
  const object = objects.find(change => change.kind === kind && change.name === name)
  return path === '' ? undefined : path.split('.').reduce<unknown>((value, field) => (value as Record<string, unknown> | undefined)?.[field], object?.spec)
}

/** A view of fixed objects. */
function createView (changes: readonly ConfigChange[]): ConfigView {
  const entries = changes.filter(({ spec }) => spec !== null)
  const list = <Kind extends ConfigKind>(kind: Kind): ConfigEntry<Kind>[] =>
    entries.filter(change => change.kind === kind).map(({ name, spec }) => ({ name, resourceVersion: 0, spec: spec as ConfigSpecs[Kind] }))
  const entry = <Kind extends ConfigKind>(kind: Kind, name: string) => list(kind).find(other => other.name === name)
  return { revision: () => 0, entry, get: (kind, name) => entry(kind, name)?.spec, list, onChange: () => () => {} }
}
