Feature: Programs are spread over a fixed number of shards
  A program must map to the same shard in every process. Otherwise two daemons could own the
  program at the same time.

  Scenario: The shard of a program does not change
    When the shard of program "p-1" is asked for with 64 shards
    Then it is the same as when it is asked for again
    And it lies between 0 and 63
