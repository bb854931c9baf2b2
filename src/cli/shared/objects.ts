/** Reads configuration objects through the operator API. */
import { callOperatorApi, type OperatorConnection } from './operator-client.ts'

export interface ConfigObject {
  kind: string
  name: string
  resourceVersion: number
  spec: Record<string, unknown>
}

export async function listObjects (connection: OperatorConnection, kind: string): Promise<ConfigObject[]> {
  const { items } = await callOperatorApi<{ items: ConfigObject[] }>(connection, { method: 'GET', path: `/objects/${kind}` })
  return items
}

export async function getObject (connection: OperatorConnection, kind: string, name: string): Promise<ConfigObject> {
  return await callOperatorApi<ConfigObject>(connection, { method: 'GET', path: `/objects/${kind}/${encodeURIComponent(name)}` })
}
