import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { parse, stringify } from 'smol-toml'
import { errorMessage } from '../../src/core/errors/index.ts'
import { parseSettings, type Settings } from '../../src/core/settings/index.ts'

type Table = Record<string, unknown>

interface SettingsWorld {
  table: Table
  settings?: Settings
  error?: unknown
}

function validTable (): Table {
  return parse(`
    [vm]
    id = "vm-1"
    region = "bagmati"
    data_centre = "bag-a"
    caller_address = "127.0.0.1:7000"
    peer_address = "127.0.0.1:7001"
    [object_api]
    url = "http://127.0.0.1:7002"
    [peer]
    shared_keys = ["0123456789abcdef"]
    [sessions]
    token_keys = ["0123456789abcdef"]
  `)
}

Given('valid settings', function (this: SettingsWorld) {
  this.table = validTable()
})

Given('valid settings with {string} set to {}', function (this: SettingsWorld, key: string, value: string) {
  this.table = validTable()
  const [section, name] = key.split('.')
  const existing = this.table[section!] as Table | undefined
  this.table[section!] = { ...existing, [name!]: JSON.parse(value) }
})

When('the settings are parsed', function (this: SettingsWorld) {
  try {
    this.settings = parseSettings(stringify(this.table), 'vm.toml')
  } catch (error) {
    this.error = error
  }
})

Then('the settings error contains {string} and {string}', function (this: SettingsWorld, first: string, second: string) {
  const message = errorMessage(this.error)
  assert.ok(message.includes(first), message)
  assert.ok(message.includes(second), message)
})

Then('the lease TTL is {int} ms', function (this: SettingsWorld, ms: number) {
  assert.equal(this.settings?.lease.lease_ttl_ms, ms)
})
