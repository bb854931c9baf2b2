Feature: What backend servers say about themselves in their answers

  # Guards against a VM that learns of a departure only from its own answers, and against an old entry that revokes it.
  Scenario: a departure that one VM has seen holds at the others, also when the entry comes back
    Given two VMs with the same backend server
    When one of them gets an answer that announces its departure
    And the first VM reports to the second
    Then the second VM does not use it
    When the second VM gets its entry again, after it was removed
    Then the second VM does not use it
    When the second VM learns that it has started anew
    Then the second VM uses it

  # Guards against a report that comes late and takes out the process that has replaced the one that left.
  Scenario: a departure of an earlier process does not take out its successor
    Given two VMs with the same backend server
    When one of them gets an answer that announces its departure
    And the second VM learns that it has started anew
    And the first VM reports to the second
    Then the second VM uses it

  # Guards against reports that VMs repeat to each other for ever.
  Scenario: a departure is reported for a limited time
    Given two VMs with the same backend server
    When one of them gets an answer that announces its departure
    And the time of the reports has passed
    And the first VM reports to the second
    Then the second VM uses it

  # Guards against a shorter pause that ends a longer one, and against an absurd one that takes a backend server out for good.
  Scenario Outline: of pauses of <pauses> ms the backend server is used <verdict> <ms> ms
    Given two VMs with the same backend server
    When it asks the second VM for pauses of <pauses> ms
    Then the second VM <use> it after <ms> ms

    Examples:
      | pauses       | verdict    | use          | ms   |
      | 2000 and 500 | not before | does not use | 1900 |
      | 2000 and 500 | after      | uses         | 2000 |
      | 0.5          | after      | uses         | 1    |
      | 90000000     | after      | uses         | 1    |
