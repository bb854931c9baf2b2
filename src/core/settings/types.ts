/** Schema of the settings file of a VM. The suffix of a key states the unit of a duration or size, such as `_ms` or `_bytes`. */
import { z } from 'zod'
import type { BootId, DataCentreId, RegionId, VmId } from '../ids/index.ts'

const idSchema = <Id extends string>() => z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'lower-case letters, digits, dots, underscores and hyphens').transform(value => value as Id)
const addressSchema = z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/, 'an IP address and a port, such as 127.0.0.1:7000')
const durationMs = (value: number) => z.number().int().positive().default(value)

export const settingsSchema = z.strictObject({
  vm: z.strictObject({
    id: idSchema<VmId>(),
    region: idSchema<RegionId>(),
    data_centre: idSchema<DataCentreId>(),
    /** Address that callers and operators connect to. */
    caller_address: addressSchema,
    /** Address that other VMs connect to. */
    peer_address: addressSchema,
    /** VMs to contact in order to join the membership group, in addition to those in the platform's VM list. */
    seeds: z.array(z.strictObject({ vm: idSchema<VmId>(), peer_address: addressSchema })).default([])
  }),
  object_api: z.strictObject({
    url: z.string().regex(/^https?:\/\//, 'an http or https URL'),
    timeout_ms: durationMs(2000)
  }),
  platform: z.strictObject({
    /** URL of the platform's list of live and leaving VMs, which may lag; empty when the platform does not provide one. */
    vm_list_url: z.string().default(''),
    vm_list_period_ms: durationMs(2000)
  }).prefault({}),
  peer: z.strictObject({
    /** Keys that the peer links accept; the first one is used to connect. */
    shared_keys: z.array(z.string().min(16, 'at least 16 characters')).min(1),
    tls_cert_file: z.string().optional(),
    tls_key_file: z.string().optional(),
    tls_ca_file: z.string().optional()
  }),
  sessions: z.strictObject({
    /** Keys for session tokens: the first key signs, and all keys verify. */
    token_keys: z.array(z.string().min(16, 'at least 16 characters')).min(1)
  }),
  lease: z.strictObject({
    lease_ttl_ms: durationMs(6000),
    /** The holder treats its lease as expired this long before the TTL has passed, as a margin for clock drift. */
    clock_margin_ms: durationMs(500)
  }).prefault({}),
  membership: z.strictObject({
    ping_period_ms: durationMs(500),
    ping_timeout_ms: durationMs(300),
    /** Time after which a suspect member is declared dead. */
    suspect_timeout_ms: durationMs(2000),
    /** Time without contact with other VMs or the object API after which the VM considers itself isolated. */
    isolation_timeout_ms: durationMs(4000)
  }).prefault({}),
  admission: z.strictObject({
    /** Time within which the request of a granted permit must start. */
    permit_start_ms: durationMs(1000),
    /** Maximum time by which the load in a backend server's report may predate the health probe. */
    load_report_lag_ms: durationMs(1000),
    max_queue: z.number().int().positive().default(1000),
    /** Maximum ratio of granted retries to granted first attempts; a small number of retries is always allowed. */
    retry_budget_share: z.number().min(0).max(1).default(0.1)
  }).prefault({}),
  billing: z.strictObject({
    flush_period_ms: durationMs(500),
    /** Limits the VM's own records and, separately, those that it holds as a witness. */
    max_outbox_records: z.number().int().positive().default(100_000)
  }).prefault({}),
  limits: z.strictObject({
    max_body_bytes: z.number().int().positive().default(1_048_576),
    max_header_bytes: z.number().int().positive().default(16_384),
    max_connections: z.number().int().positive().default(2000),
    header_timeout_ms: durationMs(10_000),
    max_buffered_bytes_per_stream: z.number().int().positive().default(1_048_576)
  }).prefault({}),
  shutdown: z.strictObject({
    drain_timeout_ms: durationMs(120_000),
    /** Minimum time for which a leaving VM still responds to new requests, with a refusal, after it has announced that it leaves. */
    announce_ms: durationMs(1500)
  }).prefault({}),
  entry_points: z.strictObject({
    /** Time for which callers may cache the list of entry points. */
    max_age_s: z.number().int().positive().default(5)
  }).prefault({}),
  explain: z.strictObject({
    max_traces: z.number().int().positive().default(5000)
  }).prefault({}),
  rating: z.strictObject({
    /** Base URL of the rating service; empty when there is none. */
    url: z.string().default('')
  }).prefault({}),
  log: z.strictObject({
    level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
    format: z.enum(['json', 'pretty']).default('json')
  }).prefault({})
})

export type Settings = z.infer<typeof settingsSchema>

/** Identity of this run of the VM's process. */
export interface VmIdentity {
  vm: VmId
  boot: BootId
  region: RegionId
  dataCentre: DataCentreId
}
