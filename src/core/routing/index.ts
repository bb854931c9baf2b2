/**
 * Chooses the model and version for a request from the contract's permissions, the tiers of an alias, the prompt size,
 * the session's version and the roll-out weights.
 */
import type { Cascade, CascadeRequest, Tier } from '../cascade/types.ts'
import type { Clock } from '../clock/index.ts'
import type { ConfigView } from '../config/types.ts'
import { RoutingError, type ErrorName } from '../errors/index.ts'
import type { ModelId, VersionId } from '../ids/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { Sessions, SessionVersion } from '../session/types.ts'
import { contractOf, findModels, permitsModel, permitsVersion, permittedVersions, type ModelEntry, type VersionEntry } from './permitted.ts'
import type { VersionChoice, VersionChoiceRequest, VersionOutcome, VersionRouter } from './types.ts'

export type * from './types.ts'

export interface VersionRouterOptions {
  view: ConfigView
  sessions: Sessions
  cascade: Cascade
  /** Called with every outcome, so that roll-outs can compare their two versions. */
  onOutcome?: (outcome: VersionOutcome) => void
  clock: Clock
  metrics: Metrics
}

/** A model that may serve the request, with its permitted versions. */
interface PermittedTier { model: ModelEntry, versions: VersionEntry[] }

interface ChosenTier { index: number, explores: boolean, reason: string }

export function createVersionRouter (options: VersionRouterOptions): VersionRouter {
  const { view, sessions, cascade, onOutcome = () => {}, clock, metrics } = options

  function refuse (kind: ErrorName, detail?: string): never {
    metrics.count('refusals', kind)
    throw new RoutingError(kind, { detail })
  }

  /** Tiers that may serve the request; throws a RoutingError with the reason when there are none. */
  function permittedTiers ({ contract, model: name, promptTokens }: VersionChoiceRequest): PermittedTier[] {
    const models = findModels(view, name)
    if (models.length === 0) refuse('unknown_model', `There is no model ${name}.`)
    const permitted = models.filter(model => permitsModel(contract, model.name, model.spec))
    if (permitted.length === 0) refuse('model_not_permitted', `The contract of ${contract.team} does not permit ${name}.`)
    const tiers = permitted
      .map(model => ({ model, versions: permittedVersions(view, contract, model) }))
      .filter(({ versions }) => versions.length > 0)
    if (tiers.length === 0) refuse('no_permitted_version')
    const fitting = tiers.filter(({ model }) => model.spec.contextTokens >= promptTokens)
    if (fitting.length === 0) refuse('prompt_too_large')
    return fitting
  }

  /** Returns no tiers to escalate to if a configuration change during the answer left none permitted. */
  function tiersOrNone (request: VersionChoiceRequest): PermittedTier[] {
    try {
      return permittedTiers(request)
    } catch (error) {
      if (error instanceof RoutingError) return []
      throw error
    }
  }

  function cascadeRequest (request: VersionChoiceRequest, tiers: PermittedTier[], chosen?: VersionId): CascadeRequest {
    const { contract, requestClass, promptTokens } = request
    const { team, qualityTarget, explorationShare, deadlineMs } = contract
    return { team, requestClass, qualityTarget, explorationShare, promptTokens, deadlineMs, tiers: tiers.map(tier => cascadeTier(tier, chosen)) }
  }

  /** Index of the highest tier that the request has been escalated from; -1 if it has not been escalated. */
  function highestTriedTier (tiers: PermittedTier[], tried: VersionId[]): number {
    const triedModels = new Set(tried.map(version => view.get('Version', version)?.model))
    return tiers.findLastIndex(({ model }) => triedModels.has(model.name as ModelId))
  }

  function chooseTier (request: VersionChoiceRequest, tiers: PermittedTier[]): ChosenTier {
    const highestTried = highestTriedTier(tiers, request.tried)
    if (highestTried >= tiers.length - 1) refuse('no_permitted_version', 'No more expensive tier is left.')
    if (highestTried >= 0) return { index: cascade.next(cascadeRequest(request, tiers), highestTried), explores: false, reason: `escalated from ${request.tried.at(-1)}` }
    if (tiers.length === 1) return { index: 0, explores: false, reason: 'only tier' }
    const { tier, explores, reason } = cascade.decide(cascadeRequest(request, tiers))
    return { index: tier, explores, reason }
  }

  async function choose (request: VersionChoiceRequest): Promise<VersionChoice> {
    const startMs = clock.now()
    const tiers = permittedTiers(request)
    const tier = chooseTier(request, tiers)
    const { index } = tier
    const { model, versions } = tiers[index]!
    const modelId = model.name as ModelId
    const chosen = await sessions.resolve({
      team: request.contract.team,
      model: modelId,
      session: request.session,
      token: request.token,
      candidates: versions.map(({ name, spec }) => ({ version: name as VersionId, weight: spec.weight }))
    })
    metrics.latency('version_choice', clock.now() - startMs)
    if (request.tried.length > 0) metrics.count('escalations', 'chosen')
    return toVersionChoice(chosen, modelId, index < tiers.length - 1, tier)
  }

  function toVersionChoice (chosen: SessionVersion, model: ModelId, canEscalate: boolean, { explores, reason }: ChosenTier): VersionChoice {
    const { version, token, movedFrom, source } = chosen
    return { version, model, sessionToken: token, movedFrom, canEscalate, explores, reason: `${reason}; version from ${source}` }
  }

  return {
    choose,
    isStillPermitted (contract, name) {
      const version = view.get('Version', name)
      const model = version && view.get('Model', version.model)
      const currentContract = contractOf(view, contract.team)
      return Boolean(version && model && currentContract && permitsVersion(currentContract, name, version, model))
    },
    permittedModels (contract) {
      const models = view.list('Model').filter(({ name, spec }) => permitsModel(contract, name, spec))
      const names = models.flatMap(({ name, spec }) => spec.alias === undefined ? [name] : [name, spec.alias])
      return [...new Set<string>(names)].sort()
    },
    observe (outcome) {
      cascade.observe(outcome)
      onOutcome(outcome)
    },
    shouldEscalate (request, choice, confidence, remainingMs) {
      if (!choice.canEscalate) return false
      const tiers = tiersOrNone(request)
      const tier = tiers.findIndex(({ model }) => model.name === choice.model)
      if (tier < 0) return false
      const escalationRequest = cascadeRequest(request, tiers, choice.version)
      const escalates = cascade.shouldEscalate({ ...escalationRequest, tier, confidence, remainingMs })
      if (escalates) metrics.count('escalations', 'low_quality')
      return escalates
    }
  }
}

/** Represents a tier by its version with the highest weight, or by the version already chosen for the request. */
function cascadeTier ({ versions }: PermittedTier, chosen?: VersionId): Tier {
  const byWeight = [...versions].sort((a, b) => b.spec.weight - a.spec.weight || a.name.localeCompare(b.name))
  const { name, spec } = byWeight.find(entry => entry.name === chosen) ?? byWeight[0]!
  const { inputMicrosPerToken, outputMicrosPerToken, priorQuality } = spec
  return { version: name as VersionId, inputMicrosPerToken, outputMicrosPerToken, priorQuality }
}
