/**
 * Explains a request from log lines alone: its own lines, and what the same VM had come to believe shortly before, about
 * the backend servers that the request met and about its dependencies.
 */

export interface LogLine {
  time: string
  level: string
  vm: string
  message: string
  [field: string]: unknown
}

export interface LogTrace {
  request: LogLine[]
  /** Lines of the same VM about the same backend servers or about no request, before the request's last line. */
  beliefs: LogLine[]
}

/** Beliefs older than this rarely decide; a lost store is told again when it returns. */
const CONTEXT_MS = 10_000

/** Parses lines; text before the first brace, such as another log's prefix, and lines that are no JSON are passed over. */
export function parseLogLines (text: string): LogLine[] {
  return text.split('\n').flatMap(line => {
    const start = line.indexOf('{')
    if (start === -1) return []
    try {
      const value = JSON.parse(line.slice(start)) as Partial<LogLine>
      return typeof value.time === 'string' && typeof value.message === 'string' ? [value as LogLine] : []
    } catch {
      return []
    }
  })
}

export function traceRequest (lines: readonly LogLine[], id: string): LogTrace {
  const request = lines.filter(line => line.id === id)
  const last = request.at(-1)
  if (!last) return { request, beliefs: [] }
  const endMs = Date.parse(last.time)
  const vms = new Set(request.map(({ vm }) => vm))
  const backendServers = new Set(request.map(({ backendServer }) => backendServer).filter(Boolean))
  const beliefs = lines.filter(line => {
    if (line.id !== undefined || !vms.has(line.vm)) return false
    const ageMs = endMs - Date.parse(line.time)
    if (ageMs < 0 || ageMs > CONTEXT_MS) return false
    return line.backendServer === undefined || backendServers.has(line.backendServer)
  })
  return { request, beliefs }
}
