/**
 * Response of GET /operator/v1/status, which `lacewingstage status` prints: VMs, data centres, backend servers and
 * versions as this VM sees them, each with the reason why it receives no new work.
 */
import type { LeaderSummary } from '../admission/index.ts'
import type { ConfigView } from '../config/types.ts'
import type { Member, Membership } from '../membership/index.ts'
import type { VmIdentity } from '../settings/index.ts'
import type { Lifecycle } from './lifecycle.ts'

export interface StatusRow {
  name: string
  state: string
  /** Reason why it receives no new work, or less in the case of a cold backend server; empty if there is none. */
  reason: string
}

export interface VmStatus {
  vm: string
  /** Reason why the VM refuses requests, or its lifecycle phase if it accepts them. */
  phase: string
  revision: number
  vms: (StatusRow & { data_centre: string, url: string })[]
  data_centres: (StatusRow & { leader: string, epoch: number })[]
  backend_servers: (StatusRow & { data_centre: string })[]
  versions: (StatusRow & { model: string, weight: number, free_slots: number, warm: number, cold: number })[]
}

export interface StatusOptions {
  identity: VmIdentity
  lifecycle: Lifecycle
  membership: Membership
  view: ConfigView
  summaries: () => LeaderSummary[]
}

export function readStatus ({ identity, lifecycle, membership, view, summaries }: StatusOptions): VmStatus {
  const leaderSummaries = summaries()
  return {
    vm: identity.vm,
    phase: lifecycle.refusal() ?? lifecycle.phase(),
    revision: view.revision(),
    vms: membership.members().map(member => vmRow(member, view)),
    data_centres: view.list('DataCentre').map(({ name, spec }) => dataCentreRow(name, spec.state, leaderSummaries)),
    backend_servers: view.list('BackendServer').map(({ name, spec }) => {
      const isWarm = leaderSummaries.some(summary => summary.warmBackendServers.some(warm => warm === name))
      const reason = backendServerReason({ state: spec.state, dataCentreState: view.get('DataCentre', spec.dataCentre)?.state, isWarm })
      return { name, data_centre: spec.dataCentre, state: spec.state, reason }
    }),
    versions: view.list('Version').map(({ name, spec }) => {
      const rows = leaderSummaries.flatMap(summary => summary.versions.filter(({ version }) => version === name))
      const total = (read: (row: typeof rows[number]) => number) => rows.reduce((sum, row) => sum + read(row), 0)
      const warm = total(row => row.warm)
      const cold = total(row => row.cold)
      const reason = versionReason({ state: spec.state, weight: spec.weight, servers: warm + cold })
      return { name, model: spec.model, state: spec.state, weight: spec.weight, free_slots: total(row => row.freeSlots), warm, cold, reason }
    })
  }
}

function vmRow (member: Member, view: ConfigView): VmStatus['vms'][number] {
  const { vm: name, dataCentre, callerUrl: url, state } = member
  const isDrained = view.get('VirtualMachine', name)?.state === 'leaving'
  const isDataCentreOut = view.get('DataCentre', dataCentre)?.state === 'out_of_service'
  const reason = state === 'leaving' || isDrained ? 'leaving' : isDataCentreOut ? 'data centre out of service' : ''
  return { name, data_centre: dataCentre, url, state, reason }
}

function dataCentreRow (name: string, state: string, summaries: LeaderSummary[]): VmStatus['data_centres'][number] {
  const summary = summaries.find(({ dataCentre }) => dataCentre === name)
  const leader = summary?.leader ?? ''
  const epoch = summary?.epoch ?? 0
  return { name, state, leader, epoch, reason: dataCentreReason(state, summary) }
}

function dataCentreReason (state: string, summary: LeaderSummary | undefined): string {
  if (state === 'out_of_service') return 'taken out of service'
  if (!summary) return 'no leader known'
  return summary.granting ? '' : 'new leader waits for older permits to end'
}

function backendServerReason ({ state, dataCentreState, isWarm }: { state: string, dataCentreState: string | undefined, isWarm: boolean }): string {
  if (state === 'leaving') return 'leaving'
  if (dataCentreState === 'out_of_service') return 'data centre out of service'
  return isWarm ? '' : 'in cold start, or not reported warm yet'
}

function versionReason ({ state, weight, servers }: { state: string, weight: number, servers: number }): string {
  if (state === 'withdrawn') return 'withdrawn'
  if (servers === 0) return 'loaded on no backend server'
  return weight === 0 ? 'weight 0: no new sessions' : ''
}
