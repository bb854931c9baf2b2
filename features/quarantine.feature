Feature: Quarantine of requests that crash backend servers

  Scenario Outline: fingerprint guilty is <guilty> and innocent is <innocent> on all VMs after <crashes> with the object API <api>
    Given a quarantine on 3 VMs with the object API <api>
    When the quarantine gets the crashes <crashes>
    Then the quarantine of guilty is <guilty> on all VMs
    And the quarantine of innocent is <innocent> on all VMs

    Examples:
      | crashes                                                          | api  | guilty      | innocent |
      | guilty@a1 by vm-1                                                | up   | suspect     | none     |
      | guilty@a1 by vm-1, guilty@b1 by vm-2                             | up   | quarantined | none     |
      | guilty@a1 by vm-1, guilty@b1 by vm-2                             | down | quarantined | none     |
      | guilty@a1 by vm-1, guilty@a1 by vm-2                             | up   | suspect     | none     |
      | guilty@a1 by vm-1, guilty@a2 by vm-1                             | up   | quarantined | none     |
      | guilty@a1 by vm-1, innocent@a1 by vm-2, guilty@b1 by vm-1        | up   | quarantined | suspect  |
      | guilty@a1 by vm-1, innocent@a1 by vm-2, guilty@b1 by vm-1        | down | quarantined | suspect  |

  Scenario: a quarantine expires on all VMs and its object is deleted
    Given a quarantine on 3 VMs with the object API up
    When the quarantine gets the crashes guilty@a1 by vm-1, guilty@b1 by vm-2
    And the quarantine runs for 590000 ms
    Then the quarantine of guilty is quarantined on all VMs
    When the quarantine runs for 50000 ms
    Then the quarantine of guilty is none on all VMs
    And the quarantine has 0 stored objects

  Scenario: crashes reported during an object API outage are stored afterwards and read by a VM that starts later
    Given a quarantine on 3 VMs with the object API down
    When the quarantine gets the crashes guilty@a1 by vm-1, guilty@b1 by vm-2
    And the object API of the quarantine is available again
    And the quarantine runs for 31000 ms
    And the quarantine starts on a new VM without peer notifications
    Then the quarantine of guilty is quarantined on all VMs

  Scenario: a VM that missed notifications has the right count after the next one
    Given a quarantine on 3 VMs with the object API down
    When vm-3 is disconnected from the other quarantine VMs
    And the quarantine gets the crashes guilty@a1 by vm-1
    And vm-3 is reconnected to the other quarantine VMs
    And the quarantine gets the crashes guilty@b1 by vm-1
    Then the quarantine of guilty is quarantined on all VMs

  Scenario: a lifted quarantine ends on all VMs, even if the notification was lost, and late reports do not renew it
    Given a quarantine on 3 VMs with the object API up
    When the quarantine gets the crashes guilty@a1 by vm-1, guilty@b1 by vm-2
    And the quarantine runs for 31000 ms
    And vm-3 is disconnected from the other quarantine VMs
    And an operator lifts the quarantine of guilty on vm-1
    And vm-3 is reconnected to the other quarantine VMs
    And the quarantine runs for 31000 ms
    Then the quarantine of guilty is none on all VMs
    When the quarantine gets the crashes guilty@a1 by vm-2, guilty@b1 by vm-2
    Then the quarantine of guilty is none on all VMs

  Scenario: the number of quarantine entries is bounded and suspects are evicted first
    Given a quarantine on 1 VMs with the object API down
    When the quarantine gets the crashes guilty@a1 by vm-1, guilty@b1 by vm-1
    And the quarantine gets 150 suspects by vm-1 with a limit of 100 fingerprints
    Then the quarantine of guilty is quarantined on all VMs
    And the quarantine holds 99 of the suspects

  Scenario Outline: a quarantine report that is <kind> is rejected
    Given a quarantine on 2 VMs with the object API up
    When vm-1 receives a quarantine report that is <kind>
    Then the quarantine report is counted as bad input

    Examples:
      | kind                  |
      | {}                    |
      | {"crashes":[]}        |
      | {"lift":7}            |
      | {"crashes":[{"fingerprint":"x"}],"remainingMs":1} |
