@engine
Feature: Engine client and stand-in

  Scenario Outline: an engine stand-in in cold start crashes only if it receives more requests than its allowance
    Given an engine stand-in in cold start with an allowance of 2
    When the engine client sends <count> requests at once
    Then the engine client receives <answers> complete answers
    And the engine stand-in counted <overloads> overloads and its instance is "<instance>"

    Examples:
      | count | answers | overloads | instance |
      | 2     | 2       | 0         | the same |
      | 3     | 0       | 1         | another  |

  Scenario: an engine stand-in becomes warm after its cold requests and cold again without notice
    Given an engine stand-in in cold start with an allowance of 2
    When the engine client sends 2 requests at once
    Then the engine client reads the state "warm" with an allowance of 8
    When the engine stand-in becomes cold without notice
    Then the engine client reads the state "cold" with an allowance of 2

  Scenario Outline: after an unload with a stale epoch, an engine stand-in that <kind> fencing has loaded <versions>
    Given an engine stand-in that <kind> fencing
    When the engine client orders to load "kit-v2" with epoch 5
    And the engine client orders to unload "kit-v2" with epoch 4
    Then the engine stand-in has loaded "<versions>"

    Examples:
      | kind    | versions       |
      | checks  | kit-v1, kit-v2 |
      | ignores | kit-v1         |

  Scenario: an engine stand-in publishes its prefix cache after a delay
    Given an engine stand-in whose cache events are delayed by 50 ms
    When the engine client sends a request with a long prompt
    Then the engine stand-in publishes the hashes of the prompt

  Scenario: an engine stand-in sends only the remaining tokens of a resumed answer
    Given an engine stand-in that ignores fencing
    When the engine client resumes an answer after 5 of 8 tokens
    Then the engine client receives the remaining 3 tokens

  Scenario: a rating stand-in rates a share of the answers with ratings around the version's quality
    Given a rating stand-in with quality 0.7, noise 0.1 and a share of 0.5
    When the rating stand-in gets 200 answers
    Then the rating stand-in published between 70 and 130 ratings between 0.6 and 0.8

  # Guards against an answer that is taken for that to another request, because the connection is used again.
  Scenario Outline: <calls> to one backend server get their own answers when a second copy of the first arrives <moment>
    Given a backend server that sends a second answer <moment>
    When two <calls> are made one after the other
    Then each of the calls has got its own answer, and so has a third one

    Examples:
      | calls         | moment                                        |
      | health checks | with the first answer                         |
      | health checks | just after the first answer                   |
      | health checks | 2 s after the first answer                    |
      | health checks | in the same turn as the next request          |
      | health checks | right after the next request                  |
      | health checks | as a 408 in the same turn as the next request |
      | service calls | with the first answer                         |
      | service calls | just after the first answer                   |
      | service calls | 2 s after the first answer                    |
      | service calls | in the same turn as the next request          |
      | service calls | right after the next request                  |
      | service calls | as a 408 in the same turn as the next request |
