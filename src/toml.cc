#include "toml.h"

#include <string>
#include <toml++/toml.h>
#include <vector>

namespace
{

void
visit_list (TomlLeaf &leaf, const toml::array &array, TomlVisit visit, gpointer ctx)
{
  std::vector<std::string> texts;
  std::vector<const char *> pointers;

  leaf.type = TOML_TEXT_LIST;
  for (const auto &item : array)
    {
      auto text = item.value_exact<std::string> ();

      if (!text)
        leaf.type = TOML_OTHER;
      texts.push_back (text.value_or (""));
    }
  for (const auto &text : texts)
    pointers.push_back (text.c_str ());
  pointers.push_back (nullptr);
  leaf.list = pointers.data ();
  visit (&leaf, ctx);
}

void
visit_leaf (const std::string &key, const toml::node &node, TomlVisit visit, gpointer ctx)
{
  TomlLeaf leaf{};
  std::string text;

  leaf.key = key.c_str ();
  leaf.line = node.source ().begin.line;
  leaf.type = TOML_OTHER;
  if (const auto *array = node.as_array ())
    {
      visit_list (leaf, *array, visit, ctx);
      return;
    }
  if (const auto *integer = node.as_integer ())
    {
      leaf.type = TOML_INTEGER;
      leaf.integer = integer->get ();
    }
  else if (const auto *boolean = node.as_boolean ())
    {
      leaf.type = TOML_BOOLEAN;
      leaf.integer = boolean->get () ? 1 : 0;
    }
  else if (const auto *string = node.as_string ())
    {
      leaf.type = TOML_TEXT;
      text = string->get ();
      leaf.text = text.c_str ();
    }
  visit (&leaf, ctx);
}

void
visit_table (const std::string &prefix,
             const toml::table &table,
             TomlVisit visit,
             gpointer ctx)
{
  for (const auto &[key, node] : table)
    {
      std::string name = prefix + std::string (key.str ());

      if (const auto *inner = node.as_table ())
        visit_table (name + ".", *inner, visit, ctx);
      else
        visit_leaf (name, node, visit, ctx);
    }
}

}

extern "C" char *
toml_read (const char *path, TomlVisit visit, gpointer ctx, guint *line)
{
  *line = 0;
  try
    {
      toml::table table = toml::parse_file (path);

      visit_table ("", table, visit, ctx);
      return nullptr;
    }
  catch (const toml::parse_error &error)
    {
      *line = error.source ().begin.line;
      return g_strdup (std::string (error.description ()).c_str ());
    }
}
