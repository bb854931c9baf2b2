Feature: Rating

  Scenario: a rating that arrives later than its answer is observed together with the outcome of the answer
    Given rating service that rates every answer
    When rating client offers 3 explored answers and polls
    Then rating client observed 3 ratings with the matching outcomes

  Scenario: the rating client submits a sample of the answers without exploration
    Given rating service that rates every answer
    When rating client offers 200 answers without exploration one at a time
    Then rating service received between 10 and 30 answers

  Scenario Outline: the rating client counts a failure of a rating service that <fault>
    Given rating service that <fault>
    When rating client offers 3 explored answers and polls
    Then rating client observed 0 ratings with the matching outcomes
    And rating client counted "<counter>"

    Examples:
      | fault               | counter       |
      | is down             | submit_failed |
      | answers nonsense    | poll_failed   |

  Scenario: the rating client drops the oldest answers beyond its limit
    Given rating service that rates every answer
    When rating client offers 30 explored answers with at most 10 pending ratings
    Then rating client has 10 pending ratings

  Scenario: the rating client reads from the start when the service restarts its sequence numbers
    Given rating service that rates every answer
    When rating client has read up to sequence 1000 and the service restarts
    Then rating client observed 1 ratings with the matching outcomes
