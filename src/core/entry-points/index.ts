/**
 * Lists the VMs that accept new requests from callers. There is no load balancer, so the list is rotated with each
 * response to distribute callers that use its first entry over the VMs.
 */
import type { Server } from '@hapi/hapi'
import type { ConfigView } from '../config/types.ts'
import type { DataCentreId } from '../ids/index.ts'
import type { Member, Membership } from '../membership/index.ts'
import type { VmIdentity } from '../settings/index.ts'
import { DEFAULT_MAX_AGE_S } from './constants.ts'
import type { EntryPoint, EntryPoints } from './types.ts'

export type { EntryPoint, EntryPointList, EntryPoints } from './types.ts'

export interface EntryPointsOptions {
  membership: Membership
  view: ConfigView
  identity: VmIdentity
  /** Whether this VM accepts new requests. */
  isAcceptingRequests: () => boolean
  maxAgeS?: number
}

export function createEntryPoints ({ membership, view, identity, isAcceptingRequests, maxAgeS = DEFAULT_MAX_AGE_S }: EntryPointsOptions): EntryPoints {
  let responseCount = 0

  function acceptsRequests ({ vm, dataCentre }: Member): boolean {
    if (vm === identity.vm && !isAcceptingRequests()) return false
    if (view.get('DataCentre', dataCentre)?.state === 'out_of_service') return false
    return view.get('VirtualMachine', vm)?.state !== 'leaving'
  }

  return {
    list ({ dataCentre } = {}) {
      const rotation = responseCount++
      const members = membership.available().filter(acceptsRequests)
      const live = members.filter(({ state }) => state === 'live')
      const suspects = members.filter(({ state }) => state !== 'live')
      const inDataCentre = live.filter(member => member.dataCentre === dataCentre)
      const elsewhere = live.filter(member => member.dataCentre !== dataCentre)
      const ordered = [inDataCentre, elsewhere, suspects].flatMap(group => rotate(group, rotation))
      return { entry_points: ordered.map(toEntryPoint), max_age_s: maxAgeS }
    }
  }
}

/** Registers `GET /v1/entry-points`, with the optional query parameter `data_centre`. No key is needed. */
export function registerEntryPointRoutes (server: Server, entryPoints: EntryPoints): void {
  server.route({
    method: 'GET',
    path: '/v1/entry-points',
    options: { auth: false },
    handler (request, toolkit) {
      const { data_centre: dataCentre } = request.query as { data_centre?: unknown }
      const list = entryPoints.list({ dataCentre: typeof dataCentre === 'string' ? dataCentre as DataCentreId : undefined })
      return toolkit.response(list).header('cache-control', `max-age=${list.max_age_s}`)
    }
  })
}

function rotate<Item> (items: readonly Item[], count: number): Item[] {
  const offset = items.length === 0 ? 0 : count % items.length
  return [...items.slice(offset), ...items.slice(0, offset)]
}

function toEntryPoint ({ vm, callerUrl, dataCentre }: Member): EntryPoint {
  return { vm, url: callerUrl, data_centre: dataCentre }
}
