/** HTTP routes of the fault controls, for tests that run in another process than the stand-in. */
import type { ServerRoute } from '@hapi/hapi'
import type { CallFilter, ObjectApiControl, OutageMode } from './types.ts'

interface CountBody { count: number, filter?: CallFilter }

export function controlRoutes (control: ObjectApiControl): ServerRoute[] {
  const post = <Body>(action: string, run: (body: Body) => unknown): ServerRoute => ({
    method: 'POST',
    path: `/control/${action}`,
    handler: request => ({ result: run(request.payload as Body) ?? null })
  })
  return [
    post<{ mode: OutageMode | boolean }>('outage', ({ mode }) => control.outage(mode)),
    post<{ ms: number }>('delay', ({ ms }) => control.delay(ms)),
    post<CountBody>('drop-answers', ({ count, filter }) => control.dropAnswers(count, filter)),
    post<CountBody>('hold-writes', ({ count, filter }) => control.holdWrites(count, filter)),
    post('release-held', () => control.releaseHeld()),
    post('compact', () => control.compact()),
    post('cut-watches', () => control.cutWatches()),
    { method: 'GET', path: '/control/counters', handler: () => ({ ...control.counters() }) }
  ]
}
