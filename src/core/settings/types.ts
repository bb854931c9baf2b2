/** Schema of the settings file of one VM. Durations are in milliseconds and sizes in bytes, as the key names say. */
import { z } from 'zod'
import type { BootId, DataCentreId, RegionId, VmId } from '../ids/index.ts'

const id = <Id extends string>() => z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'lower-case letters, digits, dots, underscores and hyphens').transform(value => value as Id)
const address = z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/, 'an IP address and a port, such as 127.0.0.1:7000')
const milliseconds = (value: number) => z.number().int().positive().default(value)

export const settingsSchema = z.strictObject({
  vm: z.strictObject({
    id: id<VmId>(),
    region: id<RegionId>(),
    data_centre: id<DataCentreId>(),
    /** Address that callers and operators connect to. */
    caller_address: address,
    /** Address of the links between VMs. */
    peer_address: address,
    /** Peer addresses to contact at the start, besides those in the object API. */
    seeds: z.array(z.strictObject({ vm: id<VmId>(), peer_address: address })).default([])
  }),
  object_api: z.strictObject({
    url: z.string().regex(/^https?:\/\//, 'an http or https URL'),
    timeout_ms: milliseconds(2000)
  }),
  platform: z.strictObject({
    /** Lagging list of live and leaving VMs; empty when the platform offers none. */
    vm_list_url: z.string().default(''),
    vm_list_period_ms: milliseconds(2000)
  }).prefault({}),
  peer: z.strictObject({
    /** Keys that links between VMs accept; the first one is used to connect. */
    shared_keys: z.array(z.string().min(16, 'at least 16 characters')).min(1),
    tls_cert_file: z.string().optional(),
    tls_key_file: z.string().optional(),
    tls_ca_file: z.string().optional()
  }),
  sessions: z.strictObject({
    /** Keys that session tokens are signed with; the first one signs, all verify. */
    token_keys: z.array(z.string().min(16, 'at least 16 characters')).min(1)
  }),
  lease: z.strictObject({
    lease_ttl_ms: milliseconds(6000),
    clock_margin_ms: milliseconds(500)
  }).prefault({}),
  membership: z.strictObject({
    ping_period_ms: milliseconds(500),
    ping_timeout_ms: milliseconds(300),
    suspect_timeout_ms: milliseconds(2000),
    isolation_timeout_ms: milliseconds(4000)
  }).prefault({}),
  admission: z.strictObject({
    permit_start_ms: milliseconds(1000),
    load_report_lag_ms: milliseconds(1000),
    max_queue: z.number().int().positive().default(1000),
    retry_budget_share: z.number().min(0).max(1).default(0.1)
  }).prefault({}),
  billing: z.strictObject({
    flush_period_ms: milliseconds(500),
    max_outbox_records: z.number().int().positive().default(100_000)
  }).prefault({}),
  limits: z.strictObject({
    max_body_bytes: z.number().int().positive().default(1_048_576),
    max_header_bytes: z.number().int().positive().default(16_384),
    max_connections: z.number().int().positive().default(2000),
    header_timeout_ms: milliseconds(10_000),
    max_buffered_bytes_per_stream: z.number().int().positive().default(1_048_576)
  }).prefault({}),
  shutdown: z.strictObject({
    drain_timeout_ms: milliseconds(120_000),
    /** How long the VM keeps refusing politely after it announced that it leaves. */
    announce_ms: milliseconds(1500)
  }).prefault({}),
  entry_points: z.strictObject({
    max_age_s: z.number().int().positive().default(5)
  }).prefault({}),
  explain: z.strictObject({
    max_traces: z.number().int().positive().default(5000)
  }).prefault({}),
  rating: z.strictObject({
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
