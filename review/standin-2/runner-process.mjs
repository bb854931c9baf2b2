/**
 * A runner in a process of its own, which a case can kill: `node runner-process.mjs ID`. Its answers have neither a length
 * nor chunks and end with their channel. The body comes in two halves with a pause, as work goes on. It prints its port,
 * and the id of each request that it answers.
 */
import { createServer } from 'node:http'
import { HALVES, PAUSE_MS } from './two-halves.mjs'

const [id] = process.argv.slice(2)
const WORK_MS = 40

const server = createServer((request, response) => {
  const requestId = request.headers['x-lacewingstage-attempt-id']
  if (request.headers['x-lacewingstage-expect-runner'] !== id) return void response.writeHead(421, { 'X-Lacewingstage-Runner-Id': id, 'Content-Length': 0 }).end()
  request.resume()
  request.on('end', () => {
    process.stdout.write(`run ${requestId}\n`)
    setTimeout(() => {
      response.useChunkedEncodingByDefault = false
      response.shouldKeepAlive = false
      response.writeHead(200, { 'X-Lacewingstage-Attempt-Id': requestId, 'X-Lacewingstage-Runner-Seal': `seal-of-${id}`, 'Content-Type': 'text/plain' })
      response.write(HALVES[0])
      setTimeout(() => response.end(HALVES[1]), PAUSE_MS)
    }, WORK_MS)
  })
})
server.listen(0, '127.0.0.1', () => process.stdout.write(`port ${server.address().port}\n`))
