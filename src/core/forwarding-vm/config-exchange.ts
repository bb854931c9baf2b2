/**
 * Gets a newer configuration from another VM if the store does not deliver it. A store that was restored from an older
 * copy lacks a version that was acknowledged, and with it withdrawn keys; only the VMs that run it know it until it is
 * written again. Each VM states the version that it runs in its load reports.
 */
import type { Clock } from '../clock/index.ts'
import { errorMessage } from '../errors/index.ts'
import type { VmId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { StoredObject } from '../object-feed/index.ts'
import { CONFIG_REPORT_WAIT_MS, CONFIG_REQUEST_DELAY_MS, VERSION_ASKED_VMS, VERSION_ASK_PERIOD_MS } from './constants.ts'

export interface ConfigExchangeOptions {
  /** Version in force on this VM; `undefined` before the first one. */
  version: () => number | undefined
  /** Asks a VM for the version that it runs; resolves with `undefined` if it runs none or does not answer in time. */
  requestVersion(from: VmId): Promise<number | undefined>
  /** Other live VMs. */
  otherVms: () => readonly VmId[]
  random: () => number
  /** Asks a VM for the object of its configuration. */
  request(from: VmId): Promise<StoredObject | undefined>
  apply(object: StoredObject): void
  /** Whether other VMs are registered. */
  hasOthers: () => boolean
  clock: Clock
  log: Log
  metrics: Metrics
}

export function createConfigExchange ({ version, requestVersion, otherVms, random, request, apply, hasOthers, clock, log, metrics }: ConfigExchangeOptions) {
  const startedMs = clock.now()
  /** Latest version that another VM has reported. */
  let latestReported: number | undefined
  /** Whether this VM has found out once that it is not behind, or has waited for that long enough. */
  let isSettled = false
  let isRequesting = false

  const isBehind = () => (latestReported ?? -Infinity) > (version() ?? -Infinity)

  async function requestNewer (from: VmId): Promise<void> {
    isRequesting = true
    // In most cases the store delivers the version in the meantime; a VM that accepts no requests yet need not wait for that.
    if (isSettled) await clock.sleep(CONFIG_REQUEST_DELAY_MS)
    try {
      const object = isBehind() ? await request(from) : undefined
      if (object && isBehind()) {
        metrics.count('config_applied', 'other_vm')
        log.info('the configuration comes from another VM, because the store does not have it', { from, version: latestReported })
        apply(object)
      }
    } catch (error) {
      log.warn('another VM did not send its newer configuration', { from, version: latestReported, error: errorMessage(error) })
    } finally {
      isRequesting = false
    }
  }

  function onReport (from: VmId, reported: number): void {
    latestReported = Math.max(reported, latestReported ?? -Infinity)
    if (reported > (version() ?? -Infinity) && !isRequesting) void requestNewer(from)
  }

  return {
    /** Records the version that another VM reports. */
    onReport,
    /** Asks some VMs for their versions until this VM is settled, because the reports come up to 1.5 s later. */
    async askOthers (isStopped: () => boolean): Promise<void> {
      for (;;) {
        if (isSettled || isStopped() || clock.now() - startedMs >= CONFIG_REPORT_WAIT_MS) return
        const asked = chooseRandom(otherVms(), VERSION_ASKED_VMS, random)
        const answers = await Promise.all(asked.map(async from => ({ from, reported: await requestVersion(from).catch(() => undefined) })))
        for (const { from, reported } of answers) if (reported !== undefined) onReport(from, reported)
        await clock.sleep(VERSION_ASK_PERIOD_MS)
      }
    },
    /** Whether this VM may accept requests: it runs the latest version that is reported, or no report has come for long. */
    isSettled (): boolean {
      const isUpToDate = latestReported === undefined ? !hasOthers() : !isBehind()
      isSettled ||= isUpToDate || clock.now() - startedMs >= CONFIG_REPORT_WAIT_MS
      return isSettled
    }
  }
}

function chooseRandom<Item> (items: readonly Item[], count: number, random: () => number): Item[] {
  const rest = [...items]
  const chosen: Item[] = []
  while (chosen.length < count && rest.length > 0) chosen.push(...rest.splice(Math.floor(random() * rest.length), 1))
  return chosen
}
