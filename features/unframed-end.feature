@unframed
Feature: Responses that end with their connection

  # Guards against a part of an answer that passes for the whole one, because a reset right behind the bytes looks like an end.
  Scenario Outline: an answer without a length to an upload of <bytes> bytes is <outcome> if its connection is <end>
    Given a backend server that answers an upload of <bytes> bytes without a length and whose connection is then <end>
    Then its answer counts as <outcome> in each of 20 tries

    Examples:
      | bytes   | end                     | outcome   |
      | 100     | reset                   | truncated |
      | 4000000 | reset                   | truncated |
      | 100     | closed in order         | whole     |
      | 100     | closed after the upload | whole     |
      | 4000000 | closed after the upload | whole     |

  # Guards against a VM whose end looks like that of the answer which it passes on to another VM.
  Scenario Outline: an answer without a length is sent to <receiver> <framing>
    When an answer without a length is sent to <receiver>
    Then it is sent <framing>

    Examples:
      | receiver   | framing                             |
      | a caller   | without a length                    |
      | another VM | with a length and a header about it |
