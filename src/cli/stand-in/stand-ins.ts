/** Stand-ins that can run as separate processes; each takes the options of its start function. */
import { startApplication, type ApplicationOptions } from '../../standin/application/index.ts'
import { startEngine, type EngineOptions } from '../../standin/engine/index.ts'
import { startFaultProxy, type FaultProxyOptions } from '../../standin/fault-proxy/index.ts'
import { startObjectApiServer, type ObjectApiServerOptions } from '../../standin/object-api/index.ts'
import { startRating, type RatingOptions } from '../../standin/rating/index.ts'
import { startVmList, type VmListOptions } from '../../standin/vm-list/index.ts'

export interface RunningStandIn {
  /** Addresses, printed when the stand-in is ready. */
  details: Record<string, string>
  close(): Promise<void>
}

type StartStandIn = (options: object) => Promise<RunningStandIn>

export const STAND_INS: ReadonlyMap<string, StartStandIn> = new Map<string, StartStandIn>([
  ['object-api', async options => {
    const { url, close } = await startObjectApiServer(options as ObjectApiServerOptions)
    return { details: { url }, close }
  }],
  ['engine', async options => {
    const { address, close } = await startEngine(options as EngineOptions)
    return { details: { address }, close }
  }],
  ['application', async options => {
    const { address, close } = await startApplication(options as ApplicationOptions)
    return { details: { address }, close }
  }],
  ['rating', async options => {
    const { address, close } = await startRating(options as RatingOptions)
    return { details: { url: `http://${address}` }, close }
  }],
  ['vm-list', async options => {
    const { url, close } = await startVmList(options as VmListOptions)
    return { details: { url }, close }
  }],
  ['fault-proxy', async options => {
    const { address, controlUrl, close } = await startFaultProxy(options as FaultProxyOptions)
    return { details: { address, controlUrl }, close }
  }]
])
