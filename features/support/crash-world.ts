/**
 * Plays requests on VMs and backend servers with the evidence about crashes that forwarding records, on a manual clock and
 * without processes. A seed determines the traffic, which backend servers crash and why. The rules that the users
 * state for such crashes are checked from what backend servers and callers saw.
 */
import type { Backend } from '../../src/core/backend-pool/types.ts'
import { createManualClock } from '../../src/core/clock/index.ts'
import { createCrashEvidence } from '../../src/core/forwarding/crash-evidence.ts'
import type { CallerRequest, PromptPart } from '../../src/core/forwarding/types.ts'
import { brandId, type BackendServerId, type RequestId, type VmId } from '../../src/core/ids/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createControl } from '../../src/core/reachability/control.ts'
import { createRandom } from '../../src/standin/random.ts'
import { startEvidenceVms } from './evidence-vms.ts'

/** When a backend server sends the head of a stream: when it accepts the request, or with the first event; one that crashes may have sent it before. */
export const HEADS = ['early', 'with the first event', 'before a crash'] as const
export type Heads = typeof HEADS[number]

/**
 * Why backend servers crash: a prompt part that is deadly from the start of the trouble on, and in a burst comes at many VMs
 * before they can know of a crash; other reasons; or both.
 */
export const TROUBLES = ['a deadly part', 'a deadly part in a burst', 'a sound part that turns deadly', 'other crashes', 'a deadly part beside other crashes', 'resets'] as const
export type Trouble = typeof TROUBLES[number]

const QUIET_MS = 6000
const TROUBLE_MS = 22_000
const MAX_ATTEMPTS = 3
const BURST_REQUESTS = 12
const BACK_AFTER_MS = 3000
const STREAM_MS = 320
/** The users' bounds: the time in which all VMs must know of five crashes, and the deadly requests that may arrive after it. */
const CONTACT_MS = 3000
const CRASHES_UNTIL_KNOWN = 5
const MAX_LATE_ARRIVALS = 3
/** Smallest number of sound requests whose results are compared. */
const MIN_COMPARED = 20
const FIRST_PART = 'first'

interface Server { backend: Backend, isUp: boolean, breakStreams: Set<() => void> }
interface SentRequest { isDeadly: boolean, sentMs: number, isBegunAtOnce: boolean, isServed: boolean }

export interface CrashWorldResult { crashes: number, brokenRules: string[] }

export async function playCrashWorld ({ seed, heads, trouble }: { seed: number, heads: Heads, trouble: Trouble }): Promise<CrashWorldResult> {
  const random = createRandom(seed)
  const between = (from: number, to: number) => from + (to - from) * random()
  const clock = createManualClock({ wallStartMs: 1_000_000 })
  const vmCount = Math.round(between(2, 9))
  const soundPerS = between(8, 40)
  const deadlyPerS = between(0.4, 6)
  const topics = Math.round(between(4, 100))
  const longestPrefillMs = between(100, 1500)
  const hasDeadlyRequests = trouble !== 'other crashes' && trouble !== 'resets'
  const hasOtherCrashes = trouble === 'other crashes' || trouble === 'a deadly part beside other crashes'
  const names = Array.from({ length: vmCount }, (_, index) => brandId<VmId>(`vm-${index}`))
  const vms = startEvidenceVms(names, clock).map(vm => ({ ...vm, control: createControl({ backendServers: () => servers.map(({ backend }) => backend), connect: async backend => !await hasEnded(backend), clock, random: createRandom(seed + 1) }) }))
  const servers = Array.from({ length: Math.round(between(4, 12)) }, (_, index) => createServer(index))
  const requests: SentRequest[] = []
  const deadlyArrivalsMs: number[] = []
  const crashesMs: number[] = []
  const endMs = QUIET_MS + TROUBLE_MS
  /** Time until which there are other crashes and resets. */
  const lastCauseMs = endMs - 8000
  let isDeadlyNow = trouble !== 'a sound part that turns deadly'

  async function hasEnded (backend: Backend): Promise<boolean> {
    return !servers.find(server => server.backend === backend)!.isUp
  }

  function createServer (index: number): Server {
    const entry = { id: brandId<BackendServerId>(`backend-${index}`), startedWallMs: clock.wallMs() }
    return { backend: { entry } as Backend, isUp: true, breakStreams: new Set() }
  }

  function crash (server: Server): void {
    if (!server.isUp) return
    server.isUp = false
    for (const breakStream of [...server.breakStreams]) breakStream()
    clock.after(BACK_AFTER_MS, () => {
      server.isUp = true
      server.backend.entry.startedWallMs = clock.wallMs()
    })
  }

  function callerRequest (id: string, prompt: readonly PromptPart[]): CallerRequest {
    return { id: brandId<RequestId>(id), method: 'POST', host: 'desk.example', target: `/dossier/${id}`, prompt } as CallerRequest
  }

  async function ask (index: number, isDeadly: boolean): Promise<void> {
    const vm = vms[Math.floor(random() * vmCount)]!
    const sent: SentRequest = { isDeadly, sentMs: clock.now(), isBegunAtOnce: false, isServed: false }
    requests.push(sent)
    const ids = [FIRST_PART, `topic-${Math.floor(random() * topics)}`, ...isDeadly ? ['deadly'] : [], `own-${index}`]
    const request = callerRequest(`request-${index}`, ids.map(id => ({ id, tokens: 100 })))
    const evidence = createCrashEvidence({ request, team: undefined, body: undefined }, { quarantine: vm.quarantine, hasEnded, reachesService: vm.control.reachesService, log: { ...silentLog, request () {} } })
    const tried = new Set<Server>()
    for (let attempt = 1; attempt <= MAX_ATTEMPTS && !evidence.isRefused(); attempt++) {
      const choices = servers.filter(server => server.isUp && !tried.has(server))
      const server = choices[Math.floor(random() * choices.length)]
      if (!server) return
      tried.add(server)
      if (isDeadly) deadlyArrivalsMs.push(clock.now())
      const result = await run(server, isDeadly, evidence)
      if (result.isBegun) {
        evidence.recordSurvival(clock.now())
        sent.isBegunAtOnce = attempt === 1
        await clock.sleep(STREAM_MS)
        sent.isServed = true
        return
      }
      if (result.isWithdrawn) return
      await evidence.recordLostResponse(server.backend, { hadHead: result.hadHead })
    }
  }

  interface AttemptResult { isBegun: boolean, isWithdrawn: boolean, hadHead: boolean }

  /** Resolves when the backend server begins the answer, or its stream ends before that. */
  function run (server: Server, isDeadly: boolean, evidence: ReturnType<typeof createCrashEvidence>): Promise<AttemptResult> {
    return new Promise(resolve => {
      let hadHead = heads === 'early'
      const settle = (result: { isBegun?: boolean, isWithdrawn?: boolean }) => {
        server.breakStreams.delete(breakStream)
        cancelPrefill()
        cancelWatch()
        resolve({ isBegun: false, isWithdrawn: false, hadHead, ...result })
      }
      const breakStream = () => { settle({}) }
      const cancelPrefill = clock.after(between(20, longestPrefillMs), () => {
        if (!isDeadly || !isDeadlyNow) return settle({ isBegun: true })
        hadHead ||= heads === 'before a crash'
        crashesMs.push(clock.now())
        crash(server)
      })
      const cancelWatch = evidence.watch(() => { settle({ isWithdrawn: true }) })
      server.breakStreams.add(breakStream)
    })
  }

  function causeTrouble (): void {
    const causes = trouble === 'resets' ? 20 : Math.round(between(1, 4))
    for (let i = 0; i < causes; i++) {
      clock.after(between(QUIET_MS, lastCauseMs), () => {
        const running = servers.filter(({ isUp }) => isUp)
        // Some crash together, as when a rack loses power.
        for (const server of running.slice(0, 1 + Math.floor(between(0, servers.length / 3)))) {
          if (trouble === 'resets') for (const breakStream of [...server.breakStreams]) breakStream()
          else crash(server)
        }
      })
    }
  }

  if (hasOtherCrashes || trouble === 'resets') causeTrouble()
  clock.after(QUIET_MS, () => { isDeadlyNow = true })
  let index = 0
  const sendSound = (): unknown => clock.now() < endMs && (void ask(index++, false), clock.after(-Math.log(1 - random()) * 1000 / soundPerS, sendSound))
  const sendDeadly = (): unknown => clock.now() < endMs && (void ask(index++, true), clock.after(-Math.log(1 - random()) * 1000 / deadlyPerS, sendDeadly))
  sendSound()
  if (hasDeadlyRequests) clock.after(isDeadlyNow ? QUIET_MS : 0, sendDeadly)
  if (trouble === 'a deadly part in a burst') clock.after(QUIET_MS, () => { for (let i = 0; i < BURST_REQUESTS; i++) void ask(index++, true) })
  await clock.advance(endMs + 5000)
  for (const { exchange } of vms) exchange.stop()

  const brokenRules: string[] = []
  const knownMs = (crashesMs[CRASHES_UNTIL_KNOWN - 1] ?? Infinity) + CONTACT_MS
  const late = deadlyArrivalsMs.filter(atMs => atMs > knownMs).length
  if (late > MAX_LATE_ARRIVALS) brokenRules.push(`${late} deadly requests reach backend servers after the fifth of ${crashesMs.length} crashes must be known`)
  const sound = requests.filter(({ isDeadly }) => !isDeadly)
  const before = sound.filter(({ sentMs }) => sentMs < QUIET_MS)
  // Without a deadly part there is nothing to find out first: the sound requests begin all the time.
  const settledMs = hasDeadlyRequests ? (crashesMs[CRASHES_UNTIL_KNOWN - 1] ?? crashesMs.at(-1) ?? Infinity) + 2 * CONTACT_MS : QUIET_MS
  const during = sound.filter(({ sentMs }) => sentMs >= settledMs && sentMs < (hasDeadlyRequests ? endMs : lastCauseMs))
  const shareOf = (list: SentRequest[], isCounted: (request: SentRequest) => boolean) => list.filter(isCounted).length / Math.max(1, list.length)
  const begunBefore = shareOf(before, ({ isBegunAtOnce }) => isBegunAtOnce)
  const begunDuring = shareOf(during, ({ isBegunAtOnce }) => isBegunAtOnce)
  if (before.length >= MIN_COMPARED && during.length >= MIN_COMPARED && begunDuring < begunBefore / 2) {
    brokenRules.push(`${Math.round(100 * begunDuring)} % of the sound requests begin at the first attempt, ${Math.round(100 * begunBefore)} % before`)
  }
  return { crashes: crashesMs.length, brokenRules }
}
