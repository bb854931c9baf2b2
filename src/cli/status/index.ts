/** `lacewingstage status`: shows each VM, data centre, backend server and version, and why it receives no new work. */
import type { Sade } from 'sade'
import type { VmStatus } from '../../core/vm/status.ts'
import { callOperatorApi } from '../shared/operator-client.ts'
import { connectionOf, withOperatorOptions, type OperatorOptions } from '../shared/options.ts'
import { runCommand } from '../shared/run-command.ts'
import { formatTable, printResult } from '../shared/table.ts'

export function registerStatus (program: Sade): void {
  withOperatorOptions(program.command('status'))
    .describe('Shows VMs, data centres, backend servers and versions as one VM sees them.')
    .example('status --url http://127.0.0.1:7400')
    .action(runCommand(showStatus))
}

async function showStatus (options: OperatorOptions): Promise<void> {
  const status = await callOperatorApi<VmStatus>(connectionOf(options), { method: 'GET', path: '/status' })
  printResult(options.json, status, formatStatus(status))
}

function formatStatus (status: VmStatus): string {
  return [
    `VM ${status.vm}: ${status.phase}; configuration revision ${status.revision}`,
    formatTable(['VM', 'data centre', 'state', 'url', 'takes no work because'], status.vms.map(row => [row.name, row.data_centre, row.state, row.url, row.reason])),
    formatTable(['data centre', 'state', 'leader', 'epoch', 'takes no work because'], status.data_centres.map(row => [row.name, row.state, row.leader, row.epoch, row.reason])),
    formatTable(['backend server', 'data centre', 'state', 'remark'], status.backend_servers.map(row => [row.name, row.data_centre, row.state, row.reason])),
    formatTable(
      ['version', 'model', 'state', 'weight', 'free slots', 'warm', 'cold', 'remark'],
      status.versions.map(row => [row.name, row.model, row.state, row.weight, row.free_slots, row.warm, row.cold, row.reason])
    )
  ].join('\n\n')
}
