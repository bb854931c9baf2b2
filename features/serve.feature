@serve
Feature: Signals to the process of a VM

  # Guards against open requests that end without an answer because the process ends.
  Scenario: a VM's process survives unreadable settings and a second SIGTERM
    Given a VM's process without an object API
    When its settings become unreadable and it gets SIGHUP
    Then it still answers
    When it gets SIGTERM twice
    Then it has ended with status 0
