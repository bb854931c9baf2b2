/** Sample requests of an ordering desk, sent through the callers' HTTP API. */
import { SAMPLE_OTHER_TEAM_KEY, SAMPLE_TEAM_KEY } from './sample-config.ts'

export interface SampleResult {
  title: string
  /** Base URL of the VM that received the request. */
  vmUrl: string
  status: number
  /** Request id of the response; empty when it has none. */
  requestId: string
  version: string
  /** First characters of the response body. */
  answer: string
}

interface Sample {
  title: string
  /** Index of the VM that receives the request. */
  vmIndex: number
  path: string
  key?: string
  method?: string
  headers?: Record<string, string>
  body?: object
}

const MAX_ANSWER_CHARACTERS = 48

const SAMPLES: Sample[] = [
  { title: 'tag an order by subject', vmIndex: 0, path: '/v1/chat/completions', key: SAMPLE_OTHER_TEAM_KEY, body: chat('kit-small', 'Subject of: 30 microscopes for grade 9') },
  { title: 'advise a teacher, streamed', vmIndex: 1, path: '/v1/chat/completions', headers: { 'x-session-id': 'teacher-7' }, body: { ...chat('kit-model', 'What fits grade 4 optics?'), stream: true } },
  { title: 'same session, another VM', vmIndex: 2, path: '/v1/chat/completions', headers: { 'x-session-id': 'teacher-7' }, body: chat('kit-model', 'And for grade 5?') },
  { title: 'draft a tender dossier', vmIndex: 3, path: '/v1/chat/completions', headers: { 'x-deadline-ms': '30000' }, body: chat('kit-large', 'Draft the tender dossier for 400 lab kits') },
  { title: 'book a dispatch', vmIndex: 0, path: '/v1/services/order-desk/dispatches', headers: { 'idempotency-key': 'dispatch-1' }, body: { kit: 'optics', count: 30 } },
  { title: 'book it again, another VM', vmIndex: 1, path: '/v1/services/order-desk/dispatches', headers: { 'idempotency-key': 'dispatch-1' }, body: { kit: 'optics', count: 30 } },
  { title: 'check the stock', vmIndex: 2, path: '/v1/services/order-desk/stock', method: 'GET' },
  { title: 'a model outside the contract', vmIndex: 3, path: '/v1/chat/completions', key: SAMPLE_OTHER_TEAM_KEY, body: chat('kit-large', 'hello') }
]

function chat (model: string, content: string): object {
  return { model, max_tokens: 24, messages: [{ role: 'user', content }] }
}

/** Sends the samples one at a time; `urls` are the base URLs of the VMs. */
export async function sendSamples (urls: string[]): Promise<SampleResult[]> {
  const results: SampleResult[] = []
  for (const sample of SAMPLES) results.push(await send(sample, urls[sample.vmIndex % urls.length]!))
  return results
}

async function send ({ title, path, key = SAMPLE_TEAM_KEY, method = 'POST', headers = {}, body }: Sample, url: string): Promise<SampleResult> {
  const response = await fetch(url + path, {
    method,
    headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json', ...headers },
    ...(body !== undefined && { body: JSON.stringify(body) })
  })
  const text = await response.text()
  return {
    title,
    vmUrl: url,
    status: response.status,
    requestId: response.headers.get('x-request-id') ?? '',
    version: response.headers.get('x-lacewingstage-version') ?? '',
    answer: text.replaceAll(/\s+/g, ' ').slice(0, MAX_ANSWER_CHARACTERS)
  }
}

/** Expected HTTP status of each sample, in the order of the samples. */
export const EXPECTED_STATUS = [200, 200, 200, 200, 201, 201, 200, 403]
