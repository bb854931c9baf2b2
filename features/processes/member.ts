/** Runs one member in a separate process for tests and sends the membership changes it observes to the parent process. */
import { systemClock } from '../../src/core/clock/index.ts'
import type { BootId, DataCentreId, RegionId, VmId } from '../../src/core/ids/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMembership, type Membership, type Seed } from '../../src/core/membership/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createPeerLinks, type PeerLinks } from '../../src/core/peer/index.ts'

export interface RunningMember { seed: Seed, membership: Membership, links: PeerLinks }

export async function runMember (vm: string, seeds: readonly Seed[]): Promise<RunningMember> {
  const metrics = createMetrics()
  const identity = { vm: vm as VmId, boot: `boot-${vm}` as BootId, region: 'region-1' as RegionId, dataCentre: 'dc-1' as DataCentreId }
  const links = createPeerLinks({
    identity, address: '127.0.0.1:0', sharedKeys: ['process-shared-key'], clock: systemClock, metrics, log: silentLog
  })
  const peerAddress = `127.0.0.1:${await links.listen()}`
  const membership = createMembership({
    identity,
    peerAddress,
    callerUrl: 'http://127.0.0.1:1',
    peers: links,
    seeds,
    lastObjectApiContact: () => systemClock.now(),
    pingPeriodMs: 200,
    suspectTimeoutMs: 1000,
    clock: systemClock,
    metrics,
    log: silentLog,
    random: () => 0.5
  })
  if (process.send) membership.onChange(change => process.send!(change))
  await membership.start()
  return { seed: { vm: identity.vm, peerAddress }, membership, links }
}

const [vm, seeds] = process.argv.slice(2)
if (process.send && vm && seeds) void runMember(vm, JSON.parse(seeds) as Seed[])
