Feature: Budget

  Scenario Outline: eight VMs stay within the budget limit with <fault>
    Given budget of 100000 micros on 8 VMs with <fault>
    When all VMs spend the budget concurrently in amounts of 70 micros until it is exhausted
    Then the budget spent is at most 100000 micros and at least 90000

    Examples:
      | fault                           |
      | no fault                        |
      | lost responses                    |
      | lost writes                     |
      | lost responses and lost writes    |

  Scenario: VMs spend only reserved budget chunks during an object API outage
    Given budget of 100000 micros on 8 VMs with no fault
    When budget of one VM spends 100 micros and the object API fails
    And all VMs spend the budget concurrently in amounts of 70 micros until it is exhausted
    Then the budget spent is at most 6000 micros and at least 5000
    And the budget refused further requests with "budget_unavailable"

  Scenario: VMs stop spending when the budget limit is lowered below the amount spent
    Given budget of 100000 micros on 8 VMs with no fault
    When all VMs spend the budget concurrently in amounts of 70 micros until 30000 micros are spent
    And the budget limit is changed to 20000
    And all VMs spend the budget concurrently in amounts of 70 micros until it is exhausted
    Then the budget spent is at most 30600 micros and at least 30000

  Scenario: VMs continue spending when the budget limit is raised
    Given budget of 100000 micros on 8 VMs with no fault
    When all VMs spend the budget concurrently in amounts of 70 micros until it is exhausted
    And the budget limit is changed to 200000
    And all VMs spend the budget concurrently in amounts of 70 micros until it is exhausted
    Then the budget spent is at most 200000 micros and at least 180000

  Scenario: the whole budget is available again in the next period
    Given budget of 100000 micros on 8 VMs with no fault
    When all VMs spend the budget concurrently in amounts of 70 micros until it is exhausted
    And the next budget period starts
    And all VMs spend the budget concurrently in amounts of 70 micros until it is exhausted
    Then the budget spent is at most 200000 micros and at least 180000

  Scenario Outline: a VM returns its unspent budget on shutdown with <fault>
    Given budget of 100000 micros on 8 VMs with <fault>
    When every VM spends 100 micros of a reserved budget of 300 and shuts down
    Then the object API shows 800 micros of the budget reserved

    Examples:
      | fault        |
      | no fault     |
      | lost responses |

  Scenario: the budget chunk of a crashed VM stays reserved
    Given budget of 100000 micros on 8 VMs with no fault
    When budget of one VM spends 100 micros and dies
    And all VMs spend the budget concurrently in amounts of 70 micros until it is exhausted
    Then the budget spent is at most 98100 micros and at least 85000

  Scenario: budget chunks stay within the limit for any sequence of reservations and returns
    Then budget chunks of any size stay within any limit
