/** Checks constraints that schemas cannot express: references to existing objects, uniqueness and rules between fields. */
import type { ConfigKind } from '../object-api/types.ts'
import type { ConfigProblem } from './errors.ts'
import type { ConfigEntry, ConfigView, Rollout } from './types.ts'

export type ConfigReader = Pick<ConfigView, 'get' | 'list'>

type ReportViolation = (path: string, message: string, details?: Pick<ConfigProblem, 'missing' | 'ownChangeOnly'>) => void

/** Returns all violations in the configuration, not only those caused by one change. */
export function findConstraintViolations (config: ConfigReader): ConfigProblem[] {
  return [
    ...checkEach(config, 'Contract', checkContract),
    ...checkEach(config, 'Model', checkModel),
    ...checkEach(config, 'Version', ({ spec }, report) => requireObject(config, 'Model', spec.model, 'model', report)),
    ...checkEach(config, 'BackendServer', checkBackendServer),
    ...checkEach(config, 'VirtualMachine', ({ spec }, report) => requireObject(config, 'DataCentre', spec.dataCentre, 'dataCentre', report)),
    ...checkEach(config, 'Rollout', checkRollout),
    ...findDuplicates(config, 'Contract', ({ spec }) => [spec.team], 'team', 'the team'),
    ...findDuplicates(config, 'Contract', ({ spec }) => spec.keys.map(key => key.sha256), 'keys', 'the key'),
    ...findDuplicates(config, 'Operator', ({ spec }) => spec.keys.map(key => key.sha256), 'keys', 'the key'),
    ...findDuplicates(config, 'BackendServer', ({ spec }) => [spec.address], 'address', 'the address'),
    ...findDuplicates(config, 'Rollout', ({ spec }) => isUnfinished(spec) ? [spec.model] : [], 'model', 'an unfinished rollout of the model')
  ]
}

type Check<Kind extends ConfigKind> = (entry: ConfigEntry<Kind>, report: ReportViolation, config: ConfigReader) => void

function checkEach<Kind extends ConfigKind> (config: ConfigReader, kind: Kind, check: Check<Kind>): ConfigProblem[] {
  const problems: ConfigProblem[] = []
  for (const entry of config.list(kind)) {
    check(entry, (path, message, details) => problems.push({ kind, name: entry.name, path, message, ...details }), config)
  }
  return problems
}

function requireObject (config: ConfigReader, kind: ConfigKind, name: string, path: string, report: ReportViolation): boolean {
  if (config.get(kind, name)) return true
  report(path, `names ${kind}/${name}, which does not exist`, { missing: { kind, name } })
  return false
}

function checkContract ({ spec }: ConfigEntry<'Contract'>, report: ReportViolation, config: ConfigReader): void {
  const models = config.list('Model')
  const allowed = new Set<string>()
  spec.models.forEach((name, index) => {
    // An entry is the name of a model or the alias of a cascade.
    const matching = models.filter(model => model.name === name || model.spec.alias === name)
    if (matching.length === 0) report(`models.${index}`, `names Model/${name}, which does not exist`, { missing: { kind: 'Model', name } })
    for (const model of matching) allowed.add(model.name)
  })
  spec.versions?.forEach((name, index) => {
    if (!requireObject(config, 'Version', name, `versions.${index}`, report)) return
    const { model } = config.get('Version', name)!
    if (!allowed.has(model)) report(`versions.${index}`, `names a version of model ${model}, which the contract does not allow`)
  })
  spec.services.forEach((name, index) => requireObject(config, 'Service', name, `services.${index}`, report))
}

function checkModel ({ name, spec }: ConfigEntry<'Model'>, report: ReportViolation, config: ConfigReader): void {
  if (spec.alias && spec.alias !== name && config.get('Model', spec.alias)) report('alias', `is the name of Model/${spec.alias}`)
}

function checkBackendServer ({ spec }: ConfigEntry<'BackendServer'>, report: ReportViolation, config: ConfigReader): void {
  requireObject(config, 'DataCentre', spec.dataCentre, 'dataCentre', report)
  spec.versions.forEach((name, index) => requireObject(config, 'Version', name, `versions.${index}`, report))
  if (spec.service) requireObject(config, 'Service', spec.service, 'service', report)
  if (spec.service && spec.versions.length > 0) report('service', 'a backend server can serve either versions or a service, not both')
}

function checkRollout ({ spec }: ConfigEntry<'Rollout'>, report: ReportViolation, config: ConfigReader): void {
  requireObject(config, 'Model', spec.model, 'model', report)
  for (const field of ['from', 'to'] as const) {
    if (!requireObject(config, 'Version', spec[field], field, report)) continue
    const { model, state } = config.get('Version', spec[field])!
    if (model !== spec.model) report(field, `is a version of model ${model}, but the rollout is of model ${spec.model}`)
    // Reported only for a change of the roll-out itself, so that a faulty version can be withdrawn while its roll-out runs.
    if (field === 'to' && spec.state === 'running' && state === 'withdrawn') report(field, 'is withdrawn', { ownChangeOnly: true })
  }
  if (spec.from === spec.to) report('to', 'is the same version as `from`')
  if (spec.stage >= spec.stages.length) report('stage', `is beyond the last stage, ${spec.stages.length - 1}`)
  const isAscending = spec.stages.every((share, index) => index === 0 || share > spec.stages[index - 1]!)
  if (!isAscending) report('stages', 'the shares must be strictly ascending')
}

function isUnfinished ({ state }: Rollout): boolean {
  return state === 'running' || state === 'paused'
}

function findDuplicates<Kind extends ConfigKind> (
  config: ConfigReader, kind: Kind, valuesOf: (entry: ConfigEntry<Kind>) => string[], path: string, subject: string
): ConfigProblem[] {
  const owners = new Map<string, string>()
  const problems: ConfigProblem[] = []
  for (const entry of config.list(kind)) {
    for (const value of new Set(valuesOf(entry))) {
      const owner = owners.get(value)
      if (owner === undefined) owners.set(value, entry.name)
      else problems.push({ kind, name: entry.name, path, message: `${subject} ${value} is already defined in ${kind}/${owner}` })
    }
  }
  return problems
}
