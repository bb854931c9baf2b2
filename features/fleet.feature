@fleet
Feature: Fleet of real processes

  Scenario: fleet answers a chat request sent to any of its VMs
    Given a fleet of 3 VMs, 2 engines and 1 application
    When each fleet VM receives a chat request for "kit-small"
    Then every fleet answer is complete and from "kit-small-v1"
    And the fleet has billed each answered request once

  Scenario: fleet runs a dispatch once when it is sent to every VM
    Given a fleet of 3 VMs, 2 engines and 1 application
    When each fleet VM receives the dispatch with key "order-7"
    Then every fleet answer has status 201
    And the fleet application ran key "order-7" 1 time
