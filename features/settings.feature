Feature: Settings

  Scenario Outline: a settings error names <key>
    Given valid settings with "<key>" set to <value>
    When the settings are parsed
    Then the settings error contains "vm.toml: <key>" and "<text>"

    Examples:
      | key                    | value         | text                  |
      | vm.caller_address      | "localhost:1" | an IP address         |
      | vm.id                  | "VM 1"        | lower-case letters    |
      | lease.lease_ttl_ms     | "6s"          | found                   |
      | lease.lease_ttl        | 6000          | unknown key           |
      | peer.shared_keys       | ["short"]     | at least 16           |

  Scenario: omitted settings have their default values
    Given valid settings
    When the settings are parsed
    Then the lease TTL is 6000 ms
