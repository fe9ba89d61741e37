/* The connection of a client is reset while its job runs. The client sends the job again
 * after retransmit_ms, to another entry. */
#include "../standins/scene.h"

#define PATH "/lohu930/"
#define ROUTES                                                                           \
  "{\"name\":\"r-1\",\"host\":\"nony24.example\",\"prefix\":\"" PATH                     \
  "\",\"kind\":\"unsafe\",\"timeout_ms\":1500,\"target_latency_ms\":60,"                 \
  "\"priority\":1,\"service\":\"exchange\",\"max_attempts\":2,\"stretch\":1.6}"
/* Four tasks of 3.6 s on 1.6 cores: the longest of the small sites. */
#define JOB                                                                              \
  "{\"spec\":\"3600\",\"best_effort\":true,\"steps\":[{\"count\":4,\"cpu\":1600,"        \
  "\"mem_mb\":64,\"estimate_ms\":3600}]}"
#define DEADLINE_MS 12000
#define ENTRIES 3
#define SERVERS 11
#define JOBS 8
#define RESET_MS 300
#define RETRANSMIT_MS 1300 /* bounds.retransmit_ms */
#define REST_MS 500

static const char *const labels[] = { "a", "r1-1", NULL };

static void
play_job (const int *entries, int i)
{
  int first = entries[i % ENTRIES];
  int other = entries[(i + 1) % ENTRIES];
  char id[TEXT];

  client_choose_id (id);
  if (scene_trouble ())
    {
      client_submit_reset (first, PATH, JOB, id, RESET_MS);
      sleep_ms (RETRANSMIT_MS);
    }
  client_submit_again (other, PATH, JOB, id);
  sleep_ms (REST_MS);
}

int
main (int argc, char **argv)
{
  static const char *const names[]
      = { "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8", "w9", "w10", "w11" };
  char ip[] = "127.82.8.1";
  Server *servers[SERVERS];
  int entries[ENTRIES];

  scene_begin (argc > 1 ? argv[1] : ".", ROUTES);
  for (int i = 0; i < ENTRIES; i++)
    entries[i] = scene_add_entry (NULL);
  for (int i = 0; i < SERVERS; i++)
    {
      servers[i] = server_new (names[i], ip, scene_next_control (), 16000);
      scene_add_agent (servers[i]);
    }
  sleep_ms (500);
  for (int i = 0; i < SERVERS; i++)
    server_boot (servers[i], labels);
  for (int i = 0; i < ENTRIES; i++)
    if (!scene_wait_ready (entries[i], PATH))
      scene_unable ("an entry serves no job");
  client_set_deadline (DEADLINE_MS);
  for (int i = 0; i < JOBS; i++)
    play_job (entries, i);
  note ("answered with 200: %d of %d jobs", client_answers () - ENTRIES, JOBS);
  scene_end ();
}
