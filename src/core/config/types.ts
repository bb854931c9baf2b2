/**
 * Configuration objects that operators change, their schemas, and the read interface of the replica on each VM.
 * Amounts of money are in micro-units of the contract's currency, durations are in milliseconds.
 */
import { z } from 'zod'
import type {
  BackendServerId, DataCentreId, ModelId, OperatorId, RegionId, ServiceId, TeamId, VersionId, VmId
} from '../ids/index.ts'
import type { ConfigKind, StoredObject } from '../object-api/types.ts'

const id = <Id extends string>() => z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/).transform(value => value as Id)
const keyHash = z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 hash in hexadecimal')

const accessKey = z.strictObject({
  /** SHA-256 of the key; the key itself is never stored. */
  sha256: keyHash,
  expiresAtWallMs: z.number().int().positive().optional()
})

export const contractSchema = z.strictObject({
  team: id<TeamId>(),
  keys: z.array(accessKey).min(1),
  models: z.array(id<ModelId>()).min(1),
  /** When present, only these versions of the models are allowed. */
  versions: z.array(id<VersionId>()).optional(),
  services: z.array(id<ServiceId>()).default([]),
  qualityTarget: z.number().min(0).max(1).default(0),
  /** Maximum share of requests used for exploration. */
  explorationShare: z.number().min(0).max(0.2).default(0.02),
  spendLimitMicros: z.number().int().nonnegative(),
  spendPeriodMs: z.number().int().positive().default(86_400_000),
  firstTokenTargetMs: z.number().int().positive().default(560),
  deadlineMs: z.number().int().positive().default(60_000),
  maxConcurrent: z.number().int().positive().default(64),
  /** Weight of the team in the fair queue. */
  weight: z.number().positive().default(1),
  priority: z.enum(['urgent', 'normal', 'batch']).default('normal')
})

export const modelSchema = z.strictObject({
  /** Models with the same alias form a cascade, which callers address by the alias. Lower tiers are tried first. */
  alias: id<ModelId>().optional(),
  tier: z.number().int().min(0).default(0),
  contextTokens: z.number().int().positive().default(8192)
})

export const versionSchema = z.strictObject({
  model: id<ModelId>(),
  state: z.enum(['active', 'withdrawn']).default('active'),
  /** Relative share of new sessions among the active versions of the model. */
  weight: z.number().min(0).default(1),
  inputMicrosPerToken: z.number().nonnegative(),
  outputMicrosPerToken: z.number().nonnegative(),
  /** Prior estimate of the answer quality, 0 to 1. */
  priorQuality: z.number().min(0).max(1).default(0.8)
})

export const backendServerSchema = z.strictObject({
  dataCentre: id<DataCentreId>(),
  address: z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/, 'must be an IP address and port'),
  /** Versions loaded on a model engine; empty for an application runner. */
  versions: z.array(id<VersionId>()).default([]),
  /** Service of an application runner. */
  service: id<ServiceId>().optional(),
  state: z.enum(['in_service', 'leaving']).default('in_service'),
  /** Maximum concurrent requests when warm. */
  slots: z.number().int().positive().default(8),
  /** Maximum concurrent requests during a cold start. */
  coldAllowance: z.number().int().positive().default(1),
  /** Whether the backend server rejects commands with a stale fencing token. */
  checksFencing: z.boolean().default(false)
})

export const dataCentreSchema = z.strictObject({
  region: id<RegionId>(),
  state: z.enum(['in_service', 'out_of_service']).default('in_service')
})

export const virtualMachineSchema = z.strictObject({
  dataCentre: id<DataCentreId>(),
  state: z.enum(['in_service', 'leaving']).default('in_service')
})

export const serviceSchema = z.strictObject({
  /** Method and path prefix of each call; a call that matches no entry is rejected. */
  routes: z.array(z.strictObject({
    method: z.enum(['GET', 'POST', 'PUT', 'DELETE']),
    path: z.string().startsWith('/'),
    idempotent: z.boolean(),
    priceMicros: z.number().int().nonnegative().default(0)
  })).min(1)
})

export const rolloutSchema = z.strictObject({
  model: id<ModelId>(),
  from: id<VersionId>(),
  to: id<VersionId>(),
  /** Share of new sessions that `to` receives in each stage. */
  stages: z.array(z.number().min(0).max(1)).min(1).default([0.01, 0.05, 0.2, 0.5, 1]),
  stage: z.number().int().min(0).default(0),
  /** `stopped` asks the controller to roll back; `rolled_back` and `done` are final. */
  state: z.enum(['running', 'paused', 'stopped', 'rolled_back', 'done']).default('running'),
  /** Stage whose weights have been written to the versions; set by the controller. */
  appliedStage: z.number().int().min(0).optional(),
  stageMinimumMs: z.number().int().nonnegative().default(60_000),
  stageMinimumRequests: z.number().int().positive().default(100),
  /** Why the roll-out was stopped or rolled back. */
  reason: z.string().optional()
})

export const operatorSchema = z.strictObject({
  keys: z.array(accessKey).min(1)
})

export const CONFIG_SCHEMAS = {
  Contract: contractSchema,
  Model: modelSchema,
  Version: versionSchema,
  BackendServer: backendServerSchema,
  DataCentre: dataCentreSchema,
  VirtualMachine: virtualMachineSchema,
  Service: serviceSchema,
  Rollout: rolloutSchema,
  Operator: operatorSchema
} as const satisfies Record<ConfigKind, z.ZodType>

export type Contract = z.infer<typeof contractSchema>
export type Model = z.infer<typeof modelSchema>
export type Version = z.infer<typeof versionSchema>
export type BackendServer = z.infer<typeof backendServerSchema>
export type DataCentre = z.infer<typeof dataCentreSchema>
export type VirtualMachine = z.infer<typeof virtualMachineSchema>
export type Service = z.infer<typeof serviceSchema>
export type Rollout = z.infer<typeof rolloutSchema>
export type Operator = z.infer<typeof operatorSchema>

export interface ConfigSpecs {
  Contract: Contract
  Model: Model
  Version: Version
  BackendServer: BackendServer
  DataCentre: DataCentre
  VirtualMachine: VirtualMachine
  Service: Service
  Rollout: Rollout
  Operator: Operator
}

/** A version of a configuration object as VMs exchange it; `deleted` marks a tombstone. */
export interface ConfigRecord<Kind extends ConfigKind = ConfigKind> extends StoredObject<ConfigSpecs[Kind] | null> {
  kind: Kind
  deleted: boolean
}

export interface ConfigEntry<Kind extends ConfigKind> {
  name: string
  resourceVersion: number
  spec: ConfigSpecs[Kind]
}

/**
 * Read access to the configuration that is in force on this VM. Lookups are by object name; the name of a Version
 * object is its VersionId, and so on.
 */
export interface ConfigView {
  /** Highest resourceVersion received by this VM, including deletions and versions that violate the schema. */
  revision(): number
  get<Kind extends ConfigKind>(kind: Kind, name: string): ConfigSpecs[Kind] | undefined
  entry<Kind extends ConfigKind>(kind: Kind, name: string): ConfigEntry<Kind> | undefined
  list<Kind extends ConfigKind>(kind: Kind): ConfigEntry<Kind>[]
  /** Calls the listener after objects of any kind changed; returns a function that removes the listener. */
  onChange(listener: (records: readonly ConfigRecord[]) => void): () => void
}

export interface ConfigChange<Kind extends ConfigKind = ConfigKind> {
  kind: Kind
  name: string
  /** Null deletes the object. */
  spec: ConfigSpecs[Kind] | null
  /** Version that the change is based on; undefined creates the object. */
  resourceVersion: number | undefined
}

export interface AcceptedChange {
  kind: ConfigKind
  name: string
  resourceVersion: number
}

export type { BackendServerId, DataCentreId, ModelId, OperatorId, RegionId, ServiceId, TeamId, VersionId, VmId }
