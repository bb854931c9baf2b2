Feature: Entry points

  Scenario Outline: a caller in <caller> gets the entry points <first list> and then <second list> when <case>
    Given entry points of vm-a1 in dc-a, vm-a2 in dc-a and vm-b1 in dc-b
    When the entry points change so that <case>
    Then the entry points for a caller in <caller> are <first list> and then <second list>

    Examples:
      | case                          | caller | first list          | second list         |
      | nothing happens               | dc-a   | vm-a1, vm-a2, vm-b1 | vm-a2, vm-a1, vm-b1 |
      | nothing happens               | dc-b   | vm-b1, vm-a1, vm-a2 | vm-b1, vm-a2, vm-a1 |
      | nothing happens               | no dc  | vm-a1, vm-a2, vm-b1 | vm-a2, vm-b1, vm-a1 |
      | vm-a2 is leaving              | dc-a   | vm-a1, vm-b1        | vm-a1, vm-b1        |
      | vm-a2 is dead                 | dc-a   | vm-a1, vm-b1        | vm-a1, vm-b1        |
      | vm-a1 is suspect              | dc-a   | vm-a2, vm-b1, vm-a1 | vm-a2, vm-b1, vm-a1 |
      | operators take dc-a out       | dc-a   | vm-b1               | vm-b1               |
      | operators take vm-a2 out      | dc-a   | vm-a1, vm-b1        | vm-a1, vm-b1        |
      | vm-a1 itself takes no work    | dc-a   | vm-a2, vm-b1        | vm-a2, vm-b1        |

  Scenario: entry points are served without a key
    Given entry points of vm-a1 in dc-a, vm-a2 in dc-a and vm-b1 in dc-b
    Then GET of the entry points by a caller in dc-b answers 200 with vm-b1 first and max-age 7

  Scenario: explain finds a trace from any VM, and each VM keeps a limited number of traces and steps
    Given an explain store for at most 3 traces on each of 3 VMs
    When explain records 5 requests with 100 steps each on vm-2
    Then explain on vm-1 finds req-5 with 64 steps, the last one being step 100
    And explain on vm-1 finds nothing for req-1
    And explain on vm-1 finds req-4 while vm-3 does not answer
