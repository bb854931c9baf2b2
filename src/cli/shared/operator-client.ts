/** Client of the operator API, used by every command that reads or changes a running fleet. */
import Wreck from '@hapi/wreck'
import { CommandError } from './command-error.ts'
import { EXIT_CODES } from './exit-codes.ts'

export interface OperatorConnection {
  /** Base URL of any VM. */
  url: string
  /** Operator key; empty when none is given. */
  key: string
}

export interface OperatorCall {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  /** Path below /operator/v1. */
  path: string
  body?: unknown
  /** Revision that a PUT or DELETE replaces. */
  revision?: number
}

interface ErrorBody {
  error?: { type: string, message: string, hint: string }
}

const CALL_TIMEOUT_MS = 15_000
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024

/** Calls the operator API and returns the decoded response body. Throws CommandError for an error response or an unreachable VM. */
export async function callOperatorApi<Result> (connection: OperatorConnection, call: OperatorCall): Promise<Result> {
  const { status, body } = await send(connection, call)
  const result: unknown = body === '' ? {} : JSON.parse(body)
  if (status < 400) return result as Result
  const { error } = result as ErrorBody
  const text = error ? `${error.type}: ${error.message}\n  hint: ${error.hint}` : `HTTP status ${status}`
  throw new CommandError(text, status === 409 ? EXIT_CODES.conflict : EXIT_CODES.failed)
}

async function send (connection: OperatorConnection, call: OperatorCall): Promise<{ status: number, body: string }> {
  const headers: Record<string, string> = { 'content-type': 'application/json' }
  if (connection.key !== '') headers['authorization'] = `Bearer ${connection.key}`
  if (call.revision !== undefined) headers['if-match'] = String(call.revision)
  const url = `${connection.url}/operator/v1${call.path}`
  try {
    const response = await Wreck.request(call.method, url, {
      headers,
      timeout: CALL_TIMEOUT_MS,
      payload: call.body === undefined ? undefined : JSON.stringify(call.body)
    })
    const body = await Wreck.read(response, { maxBytes: MAX_RESPONSE_BYTES, timeout: CALL_TIMEOUT_MS })
    return { status: response.statusCode ?? 0, body: body.toString() }
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error)
    throw new CommandError(`${connection.url} cannot be reached: ${reason}\n  hint: give the address of a running VM with --url`, EXIT_CODES.unreachable)
  }
}
