/** Applies configuration through the operators' API, as an operator would. The first call creates the operator. */
import type { ConfigChange } from '../../core/config/types.ts'
import { callOperatorApi } from '../shared/operator-client.ts'
import { SAMPLE_OPERATOR_KEY } from './sample-config.ts'

export async function createConfigChangesOverHttp (url: string, changes: ConfigChange[]): Promise<void> {
  const connection = { url, key: SAMPLE_OPERATOR_KEY }
  const [operator, ...rest] = changes
  await callOperatorApi({ ...connection, key: '' }, { method: 'POST', path: '/changes', body: { changes: [operator] } })
  await callOperatorApi(connection, { method: 'POST', path: '/changes', body: { changes: rest } })
  await callOperatorApi(connection, { method: 'GET', path: `/in-force?revision=${await revisionOf(connection)}` })
}

async function revisionOf (connection: { url: string, key: string }): Promise<number> {
  const { revision } = await callOperatorApi<{ revision: number }>(connection, { method: 'GET', path: '/kinds' })
  return revision
}
