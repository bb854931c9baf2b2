Feature: Rating

  Scenario: rating of an explored answer is observed late with its outcome
    Given rating service that rates every answer
    When rating client offers 3 explored answers and polls
    Then rating client observed 3 ratings with the outcomes they belong to

  Scenario: rating client sends a sample of the plain answers
    Given rating service that rates every answer
    When rating client offers 200 plain answers one after the other
    Then rating service received between 10 and 30 answers

  Scenario Outline: rating service that <fault> disturbs nobody
    Given rating service that <fault>
    When rating client offers 3 explored answers and polls
    Then rating client observed 0 ratings with the outcomes they belong to
    And rating client counted "<counter>"

    Examples:
      | fault               | counter       |
      | is down             | submit_failed |
      | answers nonsense    | poll_failed   |

  Scenario: rating client gives up the oldest answers beyond its bound
    Given rating service that rates every answer
    When rating client offers 30 explored answers and awaits at most 10
    Then rating client awaits 10 ratings

  Scenario: rating service that restarted its numbering is read from the start
    Given rating service that rates every answer
    When rating client has read up to sequence 1000 and the service starts again
    Then rating client observed 1 ratings with the outcomes they belong to
