/**
 * Chooses the model and version for a request: what the contract permits, the tiers of an alias, the size of the
 * prompt, the session's version and the weights of a roll-out.
 */
import type { Cascade, CascadeQuestion, Tier } from '../cascade/types.ts'
import type { Clock } from '../clock/index.ts'
import type { ConfigView } from '../config/types.ts'
import { RoutingError, type ErrorName } from '../errors/index.ts'
import type { ModelId, VersionId } from '../ids/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { Sessions, SessionVersion } from '../session/types.ts'
import { contractOf, modelsNamed, permitsModel, permitsVersion, permittedVersions, type ModelEntry, type VersionEntry } from './permitted.ts'
import type { VersionChoice, VersionChoiceRequest, VersionOutcome, VersionRouter } from './types.ts'

export type * from './types.ts'

export interface VersionRouterOptions {
  view: ConfigView
  sessions: Sessions
  cascade: Cascade
  /** Called with every outcome, for the judge of roll-outs. */
  onOutcome?: (outcome: VersionOutcome) => void
  clock: Clock
  metrics: Metrics
}

/** One model that may answer, with its permitted versions. */
interface PermittedTier { model: ModelEntry, versions: VersionEntry[] }

interface ChosenTier { index: number, explores: boolean, why: string }

export function createVersionRouter (options: VersionRouterOptions): VersionRouter {
  const { view, sessions, cascade, onOutcome = () => {}, clock, metrics } = options

  function refuse (kind: ErrorName, detail?: string): never {
    metrics.count('refusals', kind)
    throw new RoutingError(kind, { detail })
  }

  /** Tiers that may answer the request; throws the reason when there is none. */
  function permittedTiers ({ contract, model: name, promptTokens }: VersionChoiceRequest): PermittedTier[] {
    const models = modelsNamed(view, name)
    if (models.length === 0) refuse('unknown_model', `There is no model ${name}.`)
    const permitted = models.filter(model => permitsModel(contract, model.name, model.spec))
    if (permitted.length === 0) refuse('model_not_permitted', `The contract of ${contract.team} does not permit ${name}.`)
    const tiers = permitted
      .map(model => ({ model, versions: permittedVersions(view, contract, model) }))
      .filter(({ versions }) => versions.length > 0)
    if (tiers.length === 0) refuse('no_permitted_version')
    const largeEnough = tiers.filter(({ model }) => model.spec.contextTokens >= promptTokens)
    if (largeEnough.length === 0) refuse('prompt_too_large')
    return largeEnough
  }

  /** A contract that changed while the answer was made leaves no tier to escalate to. */
  function tiersOrNone (request: VersionChoiceRequest): PermittedTier[] {
    try {
      return permittedTiers(request)
    } catch (error) {
      if (error instanceof RoutingError) return []
      throw error
    }
  }

  function question (request: VersionChoiceRequest, tiers: PermittedTier[], chosen?: VersionId): CascadeQuestion {
    const { contract, requestClass, promptTokens } = request
    const { team, qualityTarget, explorationShare, deadlineMs } = contract
    return { team, requestClass, qualityTarget, explorationShare, promptTokens, deadlineMs, tiers: tiers.map(tier => cascadeTier(tier, chosen)) }
  }

  /** Index of the tier whose version the request escalated from last; -1 before the first. */
  function triedTier (tiers: PermittedTier[], tried: VersionId[]): number {
    const triedModels = new Set(tried.map(version => view.get('Version', version)?.model))
    return tiers.findLastIndex(({ model }) => triedModels.has(model.name as ModelId))
  }

  function chooseTier (request: VersionChoiceRequest, tiers: PermittedTier[]): ChosenTier {
    const last = triedTier(tiers, request.tried)
    if (last >= tiers.length - 1) refuse('no_permitted_version', 'No more expensive tier is left.')
    if (last >= 0) return { index: cascade.next(question(request, tiers), last), explores: false, why: `escalated from ${request.tried.at(-1)}` }
    if (tiers.length === 1) return { index: 0, explores: false, why: 'only tier' }
    const { tier, explores, why } = cascade.decide(question(request, tiers))
    return { index: tier, explores, why }
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
    return describe(chosen, modelId, index < tiers.length - 1, tier)
  }

  function describe (chosen: SessionVersion, model: ModelId, canEscalate: boolean, { explores, why }: ChosenTier): VersionChoice {
    const { version, token, movedFrom, source } = chosen
    return { version, model, sessionToken: token, movedFrom, canEscalate, explores, why: `${why}; version from ${source}` }
  }

  return {
    choose,
    isStillPermitted (contract, name) {
      const version = view.get('Version', name)
      const model = version && view.get('Model', version.model)
      const inForce = contractOf(view, contract.team)
      return Boolean(version && model && inForce && permitsVersion(inForce, name, version, model))
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
      const asked = question(request, tiers, choice.version)
      const escalates = cascade.shouldEscalate({ ...asked, tier, confidence, remainingMs })
      if (escalates) metrics.count('escalations', 'low_quality')
      return escalates
    }
  }
}

/** The version that most sessions get stands for the tier, unless the request already has one of its versions. */
function cascadeTier ({ versions }: PermittedTier, chosen?: VersionId): Tier {
  const byWeight = [...versions].sort((a, b) => b.spec.weight - a.spec.weight || a.name.localeCompare(b.name))
  const { name, spec } = byWeight.find(entry => entry.name === chosen) ?? byWeight[0]!
  const { inputMicrosPerToken, outputMicrosPerToken, priorQuality } = spec
  return { version: name as VersionId, inputMicrosPerToken, outputMicrosPerToken, priorQuality }
}
