/** Rules for what a contract permits: models, aliases and versions. */
import type { ConfigEntry, ConfigView, Contract, Model, Version } from '../config/types.ts'
import type { ModelId, TeamId, VersionId } from '../ids/index.ts'

export type ModelEntry = ConfigEntry<'Model'>
export type VersionEntry = ConfigEntry<'Version'>

/** The team's contract that is currently in force. */
export function contractOf (view: ConfigView, team: TeamId): Contract | undefined {
  return view.get('Contract', team) ?? view.list('Contract').find(({ spec }) => spec.team === team)?.spec
}

/** Resolves a name to models, lower tiers first: the model of that name, or all models with that alias. */
export function findModels (view: ConfigView, name: ModelId): ModelEntry[] {
  const model = view.entry('Model', name)
  if (model) return [model]
  const members = view.list('Model').filter(({ spec }) => spec.alias === name)
  return members.sort((a, b) => a.spec.tier - b.spec.tier || a.name.localeCompare(b.name))
}

/** A contract permits a model by its name or by its alias. */
export function permitsModel (contract: Contract, name: string, model: Model): boolean {
  return contract.models.includes(name as ModelId) || (model.alias !== undefined && contract.models.includes(model.alias))
}

export function permitsVersion (contract: Contract, name: string, version: Version, model: Model): boolean {
  if (version.state !== 'active' || !permitsModel(contract, version.model, model)) return false
  return !contract.versions || contract.versions.includes(name as VersionId)
}

/** Active versions of a model that the contract permits. */
export function permittedVersions (view: ConfigView, contract: Contract, model: ModelEntry): VersionEntry[] {
  const versions = view.list('Version').filter(({ spec }) => spec.model === model.name)
  return versions.filter(({ name, spec }) => permitsVersion(contract, name, spec, model.spec))
}
