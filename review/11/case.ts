/** A backend server whose way to the store comes and goes leaves, and says so in all its answers. */
import { consume } from '../standin-3/consumer.ts'
import { BOUNDS } from '../standin-3/fleet.ts'
import { hasTrouble, playCase, sleep } from '../standin-3/record.ts'
import type { RunnerRequest } from '../standin-3/runner.ts'
import { route, startSetting } from '../standin-3/setting.ts'

const LEAVING = 'i-1'
/** One of five is cut off from the store. */
const RUNNERS = 5
const WORK_MS = 60
/** Requests for long reviews, which wait for their first event when the backend server begins to leave. */
const REVIEWS = 40
const CONSUMERS = 40
const PAUSE_MS = 100
/** Time from the start of the first cut to the reviews; the entry expires after that. */
const REVIEWS_AFTER_MS = 2500
/** Times from the start of the reviews, in milliseconds: the end of the first cut, and the start of the second one, in which it leaves. */
const FIRST_CUT_END_MS = 2500
const LEAVE_MS = 6000
/** Time from the first answer with the announcement until the backend server exits. */
const EXIT_AFTER_MS = BOUNDS.drain_ms + 1500

await playCase('review/11', async (recorder, onEnd) => {
  let isLeaving = false
  const sentMs = new Map<string, number>()
  const vmOf = new Map<string, string>()
  /** Time at which each VM passed on the first answer with the announcement. */
  const announcedMs = new Map<string, number>()
  const arrivals: { id: string, atMs: number }[] = []
  const openReviews = new Set<() => void>()

  function run ({ id, runner, incoming, outgoing, head }: RunnerRequest): void {
    const isLeaver = runner.id === LEAVING
    if (isLeaver) arrivals.push({ id, atMs: performance.now() })
    const announcement = () => isLeaver && isLeaving ? { 'server-leaving': '1' } : {}
    if (incoming.url!.startsWith('/review/')) {
      const begin = () => {
        outgoing.writeHead(200, { ...head, ...announcement(), 'content-type': 'text/event-stream' })
        outgoing.end('id: 1\ndata: review\n\n')
      }
      if (isLeaver) openReviews.add(begin)
      else setTimeout(begin, LEAVE_MS)
      return
    }
    setTimeout(() => outgoing.writeHead(200, { ...head, ...announcement(), 'content-length': 2 }).end('ok'), WORK_MS)
  }

  // Without tenants no request needs a key.
  const { vms, runners } = await startSetting({ recorder, onEnd, tenants: [], routes: [route('review', 'streaming', { stream_resume: false, max_attempts: 1 }), route('start', 'non_idempotent')], runners: Array.from({ length: RUNNERS }, () => ({ run })) })
  const leaver = runners.find(({ id }) => id === LEAVING)!
  const ending = new AbortController()
  let count = 0

  async function send (name: string, path: string, budgetMs: number): Promise<number> {
    const id = `${name}-${count++}`
    const vm = vms[count % vms.length]!
    sentMs.set(id, performance.now())
    vmOf.set(id, vm.name)
    const { headers, status } = await consume({ host: vm.host, port: vm.port, id, path, budgetMs, body: 'carriage 7', recorder })
    if (headers['server-leaving'] === '1' && !announcedMs.has(vm.name)) {
      announcedMs.set(vm.name, performance.now())
      recorder.record('VM has passed on an answer with Server-Leaving', { vm: vm.name, id })
    }
    return status
  }

  const statuses: number[] = []
  async function order (): Promise<void> {
    while (!ending.signal.aborted) {
      statuses.push(await send('order', '/start/1', 3000))
      await sleep(PAUSE_MS)
    }
  }

  await sleep(4000)
  if (hasTrouble) leaver.setCut(true)
  await sleep(REVIEWS_AFTER_MS)
  const reviews = Array.from({ length: REVIEWS }, () => send('review', '/review/1', 20_000))
  const consumers = Array.from({ length: CONSUMERS }, order)
  await sleep(FIRST_CUT_END_MS)
  if (hasTrouble) leaver.setCut(false)
  await sleep(LEAVE_MS - FIRST_CUT_END_MS)
  recorder.record('backend server begins to leave', { id: LEAVING })
  isLeaving = true
  // Its last status report still says that it is ready; it cannot report that it is draining.
  leaver.setCut(true)
  for (const begin of openReviews) begin()
  await sleep(EXIT_AFTER_MS)
  leaver.close()
  recorder.record('backend server exits', { id: LEAVING })
  await sleep(1000)
  ending.abort()
  await Promise.all([...consumers, ...reviews])

  const late = arrivals.filter(({ id }) => sentMs.get(id)! > (announcedMs.get(vmOf.get(id)!) ?? Infinity) + BOUNDS.drain_ms)
  for (const { id } of late) recorder.record('reached the leaving backend server late', { id, vm: vmOf.get(id), afterMs: Math.round(sentMs.get(id)! - announcedMs.get(vmOf.get(id)!)!) })
  const lost = statuses.filter(status => status === 502 || status === 0).length
  return { broken: late.length > 0, why: `${late.length} requests that were sent over ${BOUNDS.drain_ms} ms after their VM had passed on Server-Leaving reached the backend server; ${lost} of ${statuses.length} orders are lost` }
})
