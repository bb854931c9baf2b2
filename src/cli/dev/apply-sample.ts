/**
 * Applies the sample configuration through the operator API. The first change is sent without a key, because it creates
 * the operator to whom the key belongs.
 */
import { systemClock } from '../../core/clock/index.ts'
import type { ConfigChange } from '../../core/config/types.ts'
import type { VmStatus } from '../../core/vm/status.ts'
import { callOperatorApi } from '../shared/operator-client.ts'
import { SAMPLE_OPERATOR_KEY } from './sample-config.ts'

const LEADER_POLL_MS = 100

export async function applySample (url: string, changes: ConfigChange[]): Promise<void> {
  const connection = { url, key: SAMPLE_OPERATOR_KEY }
  const [operator, ...rest] = changes
  await callOperatorApi({ ...connection, key: '' }, { method: 'POST', path: '/changes', body: { changes: [operator] } })
  await callOperatorApi(connection, { method: 'POST', path: '/changes', body: { changes: rest } })
  await callOperatorApi(connection, { method: 'GET', path: `/in-force?revision=${await revisionOf(connection)}` })
}

/** Resolves when every data centre is in service and its leader grants permits. */
export async function waitForLeaders (url: string): Promise<void> {
  for (;;) {
    const status = await callOperatorApi<VmStatus>({ url, key: SAMPLE_OPERATOR_KEY }, { method: 'GET', path: '/status' })
    if (status.data_centres.every(({ reason }) => reason === '')) return
    await systemClock.sleep(LEADER_POLL_MS)
  }
}

async function revisionOf (connection: { url: string, key: string }): Promise<number> {
  const { revision } = await callOperatorApi<{ revision: number }>(connection, { method: 'GET', path: '/kinds' })
  return revision
}
