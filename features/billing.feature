Feature: Billing

  Scenario Outline: billing stores each record once when <fault>
    Given billing on three VMs in two data centres
    When billing of vm-a records 25 answers while <fault>
    And billing runs for another 3 minutes
    Then billing has stored each of the 25 records exactly once

    Examples:
      | fault                                                  |
      | nothing fails                                          |
      | vm-a dies after the witness acknowledged               |
      | vm-a restarts after the witness acknowledged           |
      | the object API is down for 10 minutes                  |
      | the responses to flushes are lost                      |
      | the writes of flushes are lost                         |
      | vm-a is isolated and it and the witness flush          |
      | vm-a is isolated and both lose responses to flushes    |
      | the witness dies and then vm-a dies                    |
      | the witness leaves and then vm-a dies                  |
      | the witness restarts and then vm-a dies                |

  Scenario: a billing witness drops a batch even if the message that releases it was lost
    Given billing on three VMs in two data centres
    When billing of vm-a records 25 answers while the message that releases the witness is lost
    And billing runs for another 3 minutes
    Then billing has stored each of the 25 records exactly once
    And billing witnesses hold no record

  Scenario: billing stores records that the witness did not hold in a batch with another name
    Given billing on three VMs in two data centres
    When billing of vm-a is flushed by a witness that holds 3 of 5 records
    And billing runs for another 1 minute
    Then billing has stored each of the 5 records exactly once
    And billing stored the batch under 2 names

  Scenario Outline: billing accepts new work with <state>: <accepted>
    Given billing on a single VM with <state>
    Then billing accepts new work: <accepted>

    Examples:
      | state                             | accepted |
      | a working object API              | yes      |
      | an object API that failed         | no       |
      | an object API that has recovered  | yes      |
      | a full outbox                     | no       |

  Scenario: billing of a single VM stores each record before it acknowledges it
    Given billing on a single VM with a working object API
    When billing of vm-a records 5 answers while nothing fails
    Then billing has stored each of the 5 records exactly once

  Scenario: billing of a single VM does not acknowledge a record while the object API fails
    Given billing on a single VM with an object API that failed
    When billing of vm-a records an answer
    Then billing reports "billing_unavailable" and keeps the record

  Scenario: a drain flushes all billing records
    Given billing on three VMs in two data centres
    When billing of vm-a records 25 answers and drains immediately
    Then billing has stored each of the 25 records exactly once

  # Each attempt is given as: number of the answer, end of the attempt, input tokens, output tokens.
  Scenario Outline: billing prices <attempts>
    Then billing prices <attempts> at <cost> as <outcome>

    Examples:
      | attempts                             | cost | outcome   |
      | 1 completed 100 50                   | 250  | completed |
      | 1 failed 100 50                      | none | none      |
      | 1 failed 100 0, 2 completed 100 50   | 250  | completed |
      | 1 cancelled 100 10                   | 130  | cancelled |
      | 1 partial 100 10                     | 130  | partial   |
      | 1 partial 100 10, 1 completed 110 40 | 250  | completed |
      | 1 completed 100 50, 2 completed 100 50 | 500 | completed |
      | 1 completed 100 50, 2 cancelled 100 10 | 380 | cancelled |
