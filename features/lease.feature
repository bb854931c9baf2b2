Feature: Lease

  Scenario: the lease is acquired by one of two contenders
    Given lease candidates a and b
    When the lease candidates run for 1000 ms
    Then the lease is held by a alone with epoch 1

  Scenario: a lease of a silent holder is taken after a full ttl without a moment of two holders
    Given lease candidates a and b
    And the lease candidates ran for 1000 ms
    When the lease holder a is paused for 20000 ms
    Then the lease was held by nobody for at least 500 ms before b took it
    And the lease is held by b alone with epoch 2
    And the lease listeners of a were told "acquired 1, lost"

  Scenario Outline: a lease survives a renewal whose answer is lost: <fault>
    Given lease candidates a and b
    And the lease candidates ran for 1000 ms
    When the lease renewal of a meets <fault>
    And the lease candidates run for 20000 ms
    Then the lease is held by a alone with epoch 1
    And the lease listeners of a were told "acquired 1"

    Examples:
      | fault                    |
      | a lost answer            |
      | a write that lands later |
      | a lost request           |
      | a slow answer            |

  Scenario: a lease whose acquisition was reported as unknown is used once it is read back
    Given lease candidates a and b
    And the lease acquisition of a meets a lost answer
    When the lease candidates run for 3000 ms
    Then the lease is held by a alone with epoch 2

  Scenario: a lease ends before its ttl when the object API is down, and comes back with a new epoch
    Given lease candidates a and b
    And the lease candidates ran for 1000 ms
    When the lease store is down for 30000 ms
    Then the lease is held by nobody
    When the lease candidates run for 10000 ms
    Then the lease has one holder with epoch 2

  Scenario Outline: a lease term counts from before the renewal in force was sent: <fault>
    Given lease candidates a and b
    And the lease candidates ran for 1000 ms
    When the lease renewal of a meets <fault> and the store then goes down
    Then the lease of a ends 5500 ms after this renewal was sent

    Examples:
      | fault                                      |
      | a slow answer                              |
      | a write that lands before the next attempt |

  Scenario: a released lease is taken at once
    Given lease candidates a and b
    And the lease candidates ran for 1000 ms
    When the lease holder a shuts down
    And the lease candidates run for 600 ms
    Then the lease is held by b alone with epoch 2

  Scenario: a lease of another data centre is taken only while preferred, and handed back
    Given lease candidates a and b, and b in another data centre
    When the lease candidates run for 20000 ms
    Then the lease is held by a alone with epoch 1
    When the lease holder a shuts down and b becomes preferred
    And the lease candidates run for 5000 ms
    Then the lease is held by b alone with epoch 2
    When the lease candidate a starts again and b stops being preferred
    And the lease candidates run for 20000 ms
    Then the lease is held by a alone with epoch 3

  Scenario: a lease is dropped when a newer epoch is announced
    Given lease candidates a and b
    And the lease candidates ran for 1000 ms
    When the lease holder a hears of epoch 7
    Then the lease is held by nobody
    And the lease candidates know epoch 7 after an older announcement

  Scenario: a lease candidate that is not preferred follows its leader and keeps contact with the store
    Given lease candidates a and b
    And the lease candidate b is not preferred
    When the lease candidates run for 20000 ms
    Then the lease is held by a alone with epoch 1
    And the lease candidate b knows a as leader and read the store at least 6 times
