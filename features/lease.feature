Feature: Lease

  Scenario: one of two lease candidates acquires the lease
    Given lease candidates a and b
    When the lease candidates run for 1000 ms
    Then the lease is held by a alone with epoch 1

  Scenario: the lease of a paused holder is acquired after a full TTL and never has two holders
    Given lease candidates a and b
    And the lease candidates ran for 1000 ms
    When the lease holder a is paused for 20000 ms
    Then the lease had no holder for at least 500 ms before b acquired it
    And the lease is held by b alone with epoch 2
    And the lease listeners of a received "acquired 1, lost"

  Scenario Outline: a lease is kept when its renewal meets a fault: <fault>
    Given lease candidates a and b
    And the lease candidates ran for 1000 ms
    When the lease renewal of a meets <fault>
    And the lease candidates run for 20000 ms
    Then the lease is held by a alone with epoch 1
    And the lease listeners of a received "acquired 1"

    Examples:
      | fault                    |
      | a lost answer            |
      | a write that lands later |
      | a lost request           |
      | a slow answer            |

  Scenario: a lease whose acquisition has an unknown outcome is acquired again with a new epoch before a TTL has passed
    Given lease candidates a and b
    And the lease acquisition of a meets a lost answer
    When the lease candidates run for 3000 ms
    Then the lease is held by a alone with epoch 2

  Scenario: a lease is lost while the object API is down, and is acquired again with a new epoch
    Given lease candidates a and b
    And the lease candidates ran for 1000 ms
    When the object API of the lease is down for 30000 ms
    Then the lease has no holder
    When the lease candidates run for 10000 ms
    Then the lease has one holder with epoch 2

  Scenario Outline: a lease term is counted from the moment at which the renewal that took effect was sent: <fault>
    Given lease candidates a and b
    And the lease candidates ran for 1000 ms
    When the lease renewal of a meets <fault> and the object API then goes down
    Then the lease of a ends 5500 ms after this renewal was sent

    Examples:
      | fault                                             |
      | a slow answer                                     |
      | a write that takes effect before the next attempt |

  Scenario: another candidate acquires a released lease without waiting for its TTL
    Given lease candidates a and b
    And the lease candidates ran for 1000 ms
    When the lease holder a shuts down
    And the lease candidates run for 600 ms
    Then the lease is held by b alone with epoch 2

  Scenario: the lease of another data centre is acquired only while the candidate is preferred, and handed back afterwards
    Given lease candidates a and b, and b in another data centre
    When the lease candidates run for 20000 ms
    Then the lease is held by a alone with epoch 1
    When the lease holder a shuts down and b becomes preferred
    And the lease candidates run for 5000 ms
    Then the lease is held by b alone with epoch 2
    When the lease candidate a starts again and b stops being preferred
    And the lease candidates run for 20000 ms
    Then the lease is held by a alone with epoch 3

  Scenario: a lease is lost when a newer epoch is announced
    Given lease candidates a and b
    And the lease candidates ran for 1000 ms
    When the lease holder a observes epoch 7
    Then the lease has no holder
    And the lease candidate a keeps epoch 7 after an older announcement

  Scenario: a lease candidate that is not preferred knows the leader and keeps reading the object API
    Given lease candidates a and b
    And the lease candidate b is not preferred
    When the lease candidates run for 20000 ms
    Then the lease is held by a alone with epoch 1
    And the lease candidate b has a as leader and has read the object API at least 6 times

  # Guards against a holder that is paused between a check and what follows it, and then acts on a lease that another one holds.
  Scenario Outline: a lease never has two holders when one of them is paused for 20000 ms at any of its readings of the clock, which <clock> meanwhile
    When a lease candidate is paused for 20000 ms at each of its readings of the clock in 15000 ms, which <clock> meanwhile
    Then the lease had one holder at most at any time, and it passed from a to b in most of the runs

    Examples:
      | clock |
      | runs  |
      | stops |
