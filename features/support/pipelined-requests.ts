/** Callers that write requests on a connection before they have the responses to the earlier ones. */
import { connect, type Socket } from 'node:net'
import { exchangeBytes } from './forwarding-vm-harness.ts'

export interface PipelinedResponse { status: number, closes: boolean, head: string }

export interface PipelinedRequest {
  path: string
  key?: string
  /** Whether the request asks to close the connection. */
  closes?: boolean
}

let requests = 0

export function pipelinedRequest ({ path, key = 'good-key', closes = false }: PipelinedRequest): string {
  const headerLines = [`POST ${path} HTTP/1.1`, 'host: desk.example', `authorization: Bearer ${key}`, `x-test-id: pipelined-${requests++}`, 'content-length: 4']
  if (closes) headerLines.push('connection: close')
  return [...headerLines, '', 'body'].join('\r\n')
}

/** Writes the bytes at once and reads the responses until the connection ends. */
export async function exchangePipelined (address: string, bytes: string): Promise<PipelinedResponse[]> {
  const { head, body } = await exchangeBytes(address, bytes)
  return splitResponses(`${head}\r\n\r\n${body}`)
}

/** Writes the bytes, and after the first bytes of the response these ones behind them. */
export function exchangeBehind (address: string, bytes: string, behind: string): Promise<PipelinedResponse[]> {
  const [host, port] = address.split(':')
  return new Promise(resolve => {
    const socket = connect(Number(port), host)
    let received = ''
    socket.once('data', () => socket.write(behind))
    socket.on('data', chunk => { received += chunk.toString('latin1') })
    socket.on('error', () => {})
    socket.on('close', () => resolve(splitResponses(received)))
    socket.write(bytes)
  })
}

/** Writes the bytes and returns the connection after the given time. */
export async function writeRequests (address: string, bytes: string, ms: number): Promise<Socket> {
  const [host, port] = address.split(':')
  const socket = connect(Number(port), host)
  socket.on('error', () => {})
  socket.resume()
  socket.write(bytes)
  await new Promise(resolve => setTimeout(resolve, ms))
  return socket
}

function splitResponses (text: string): PipelinedResponse[] {
  return text.split(/(?=HTTP\/1\.1 \d{3})/).filter(Boolean).map(response => {
    const [head = ''] = response.split('\r\n\r\n', 1)
    return { status: Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1]), closes: /^connection: close/im.test(head), head }
  })
}
