/** Injection tokens of a VM's components. Interfaces do not exist at run time, so each component has a typed symbol. */
import type { Server } from '@hapi/hapi'
import type { InjectionToken } from 'tsyringe'
import type { PermitClient } from '../admission/index.ts'
import type { Billing } from '../billing/index.ts'
import type { Budget } from '../budget/index.ts'
import type { Claims } from '../claims/index.ts'
import type { Clock } from '../clock/index.ts'
import type { ConfigController, ConfigReplica } from '../config/index.ts'
import type { EngineClient, ServiceClient } from '../engine/index.ts'
import type { EntryPoints } from '../entry-points/index.ts'
import type { Explain } from '../explain/index.ts'
import type { LeaderLease } from '../lease/index.ts'
import type { Log } from '../logging/index.ts'
import type { Membership } from '../membership/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { ObjectApiClient } from '../object-api/index.ts'
import type { PeerLinks } from '../peer/index.ts'
import type { Quarantine } from '../quarantine/index.ts'
import type { RatingClient } from '../rating/index.ts'
import type { OutcomeReports, RolloutController } from '../rollout/index.ts'
import type { VersionRouter } from '../routing/index.ts'
import type { Sessions } from '../session/index.ts'
import type { Settings, VmIdentity } from '../settings/index.ts'
import type { LeaderSchedulers } from './leaders.ts'
import type { Lifecycle } from './lifecycle.ts'

function token<Component> (name: string): InjectionToken<Component> {
  return Symbol(name)
}

export const TOKENS = {
  settings: token<Settings>('settings'),
  identity: token<VmIdentity>('identity'),
  clock: token<Clock>('clock'),
  log: token<Log>('log'),
  metrics: token<Metrics>('metrics'),
  lifecycle: token<Lifecycle>('lifecycle'),
  server: token<Server>('server'),
  objectApi: token<ObjectApiClient>('object API'),
  peers: token<PeerLinks>('peers'),
  membership: token<Membership>('membership'),
  view: token<ConfigReplica>('configuration replica'),
  config: token<ConfigController>('configuration controller'),
  lease: token<LeaderLease>('lease'),
  leaderSchedulers: token<LeaderSchedulers>('leader schedulers'),
  permits: token<PermitClient>('permits'),
  claims: token<Claims>('claims'),
  billing: token<Billing>('billing'),
  budget: token<Budget>('budget'),
  quarantine: token<Quarantine>('quarantine'),
  sessions: token<Sessions>('sessions'),
  routing: token<VersionRouter>('routing'),
  engine: token<EngineClient>('engine'),
  services: token<ServiceClient>('services'),
  explain: token<Explain>('explain'),
  outcomes: token<OutcomeReports>('roll-out outcomes'),
  rollouts: token<RolloutController>('roll-out controller'),
  rating: token<RatingClient>('rating'),
  entryPoints: token<EntryPoints>('entry points')
}
