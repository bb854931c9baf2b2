Feature: Budget

  Scenario Outline: budget of eight VMs stays within the limit with <fault>
    Given budget of 100000 micros on 8 VMs with <fault>
    When budget is spent by all VMs at once in parts of 70 micros until it is exhausted
    Then budget spent at most 100000 micros and at least 90000

    Examples:
      | fault                           |
      | no fault                        |
      | lost answers                    |
      | lost writes                     |
      | lost answers and lost writes    |

  Scenario: budget spends only reserved chunks during an object API outage
    Given budget of 100000 micros on 8 VMs with no fault
    When budget of one VM spends 100 micros and the object API fails
    And budget is spent by all VMs at once in parts of 70 micros until it is exhausted
    Then budget spent at most 6000 micros and at least 5000
    And budget refused further requests with "budget_unavailable"

  Scenario: budget stops at a lowered limit
    Given budget of 100000 micros on 8 VMs with no fault
    When budget is spent by all VMs at once in parts of 70 micros until 30000 micros are spent
    And budget has its limit changed to 20000
    And budget is spent by all VMs at once in parts of 70 micros until it is exhausted
    Then budget spent at most 30600 micros and at least 30000

  Scenario: budget grows with a raised limit
    Given budget of 100000 micros on 8 VMs with no fault
    When budget is spent by all VMs at once in parts of 70 micros until it is exhausted
    And budget has its limit changed to 200000
    And budget is spent by all VMs at once in parts of 70 micros until it is exhausted
    Then budget spent at most 200000 micros and at least 180000

  Scenario: budget starts at zero in the next period
    Given budget of 100000 micros on 8 VMs with no fault
    When budget is spent by all VMs at once in parts of 70 micros until it is exhausted
    And budget enters the next period
    And budget is spent by all VMs at once in parts of 70 micros until it is exhausted
    Then budget spent at most 200000 micros and at least 180000

  Scenario Outline: budget returns unspent chunks on shutdown with <fault>
    Given budget of 100000 micros on 8 VMs with <fault>
    When budget of every VM spends 100 micros of an estimate of 300 and shuts down
    Then budget has 800 micros reserved in the object API

    Examples:
      | fault        |
      | no fault     |
      | lost answers |

  Scenario: budget chunk of a crashed VM stays reserved
    Given budget of 100000 micros on 8 VMs with no fault
    When budget of one VM spends 100 micros and dies
    And budget is spent by all VMs at once in parts of 70 micros until it is exhausted
    Then budget spent at most 98100 micros and at least 85000

  Scenario: budget chunks fit into the limit for any sequence of updates
    Then budget chunks of any sizes stay within any limit
