@caller-server
Feature: Caller server

  Background:
    Given a caller server with small limits

  Scenario Outline: the caller server answers <status> to <input>
    When a caller server client sends <input>
    Then the caller server answers <status>

    Examples:
      | input                            | status |
      | a header over the limit          | 431    |
      | a declared body over the limit   | 413    |
      | a chunked body over the limit    | 413    |
      | an unauthenticated endless body  | 401    |
      | headers too slowly               | 408    |

  Scenario: the caller server refuses connections over the limit and accepts new ones once some close
    When the caller server has the maximum number of connections
    Then the caller server drops one more connection
    And the caller server accepts connections again once they close

  Scenario: the caller server answers health and metrics without a key
    When a caller server client reads "/health"
    Then the caller server answers 200
    When a caller server client reads "/metrics"
    Then the caller server answers 200
    When a caller server client reads "/v1/models"
    Then the caller server answers 401
